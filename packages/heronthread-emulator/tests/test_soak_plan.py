from heronthread_emulator.soak_plan import make_version, name_route, plan_jobs


def test_seed_plans_the_same_jobs_everywhere():
    assert plan_jobs(7, 40, 20.0) == plan_jobs(7, 40, 20.0)
    assert plan_jobs(7, 40, 20.0) != plan_jobs(8, 40, 20.0)


def test_jobs_are_of_all_kinds():
    jobs = plan_jobs(1, 300, 20.0)
    assert {job.gang for job in jobs} == {True, False}
    assert any(job.cancel_after_s for job in jobs)
    assert any(job.schedule for job in jobs)
    assert {job.tries for job in jobs} == {1, 5}
    assert {job.work.kind.value for job in jobs} == {"done", "failed"}
    assert all(job.work.members == (job.count if job.gang else 1) for job in jobs)


def test_schedule_is_what_callers_send():
    job = next(job for job in plan_jobs(1, 300, 20.0) if job.schedule)
    schedule = job.schedule_from(1_700_000_000.0)
    assert schedule.first_at * 1000 == int(schedule.first_at * 1000 + 0.5)
    assert abs(schedule.first_at - 1_700_000_000.0 - job.schedule.first_at) < 0.001


def test_each_version_has_a_route_of_its_own():
    names = [{queue.name for queue in make_version(version).queues} for version in (1, 2)]
    assert names[0] ^ names[1] == {name_route(1), name_route(2)}
