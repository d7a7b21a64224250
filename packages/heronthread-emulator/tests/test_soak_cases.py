from pathlib import Path

from heronthread_emulator.soak_cases import CASES
from heronthread_emulator.soak_faults import SoakFaults
from heronthread_emulator.soak_site import SoakSite


def test_each_case_is_there_once_and_has_a_cause():
    assert len({(case.seed, case.faults_s, case.hosts, case.only) for case in CASES}) == len(CASES)
    assert all(len(case.cause.split()) > 3 and case.promise for case in CASES)


def test_each_case_can_be_played_again():
    for case in CASES:
        settings = case.to_settings(Path("."))
        assert settings.seed == case.seed
        site = SoakSite(settings, None, None, None)
        assert SoakFaults(site, settings.only).names
