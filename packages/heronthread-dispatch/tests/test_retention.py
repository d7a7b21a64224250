import trio
from heronthread_dispatch.intake import NoSuchJob
from heronthread_emulator import EmulatedSite


async def test_final_jobs_leave_the_store_after_their_retention(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with EmulatedSite.open(hosts=1) as site:
        await site.wait_for_owner()
        await site.hosts["h0"].requests.accept(site.make_job("old", work_s=1.0), 2.0)
        await trio.sleep(500)
        await site.hosts["h0"].requests.accept(site.make_job("young", work_s=1.0), 2.0)
        await trio.sleep(150)
        assert "job/old" not in site.store.items
        assert "progress/old" not in site.store.items
        assert "job/young" in site.store.items
        site.kill_host("h0")
        site.start_host("h1")
        await site.wait_for_owner()
        assert isinstance(await site.hosts["h1"].requests.find_job("old"), NoSuchJob)
