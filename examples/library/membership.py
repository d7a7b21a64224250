"""A refused connection and a notice of leaving override the platform's host list."""

import trio
from heronthread_coordination import Member, Membership, rank


async def main() -> None:
    membership = Membership()
    membership.update(1, [Member(name, f"10.0.0.{i}:1") for i, name in enumerate("abc")])
    membership.note_refused("a")
    membership.note_leaving({"b"})
    print("usable:", [member.name for member in membership.usable()])
    print("order for cell x:", sorted("abc", key=lambda name: rank(name, "x", "abc")))


if __name__ == "__main__":
    trio.run(main)
