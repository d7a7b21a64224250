from heronthread_dispatch.recent_peaks import RecentPeaks


def test_peak_is_forgotten_after_the_window() -> None:
    peaks = RecentPeaks(10.0)
    peaks.note(0.0, {"a": 5})
    peaks.note(1.0, {"a": 9})
    peaks.note(2.0, {"a": 3})
    assert peaks.peaks(5.0) == {"a": 9}
    assert peaks.peaks(11.5) == {"a": 3}
    assert peaks.peaks(13.0) == {"a": 0}
