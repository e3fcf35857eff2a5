"""A registry member that was frozen for 7.3 s never takes part again, so two tolerated losses later the registry is lost for good."""

import asyncio
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from harness_3 import CannotRun, Case, HAS_TROUBLE, Process, RECOVERY_S, main

# The longest freeze of a core machine among the days of sites/kcu-quotes.toml.
FREEZE_S = 7.3
CATCH_UP_S = 4.0
# Time between the loss of a core machine and the start of its successor (replace_core: 1 s).
SUCCESSOR_DELAY_S = 1.0
# Time for which the machine that loses its disk is down (after_ack_wipe: 3 s).
DOWN_S = 3.0


class FrozenMember(Case):
    members_count, entries_count = 4, 1

    def settled(self, count):
        """True if the newest configuration that some member has logged has that many members."""
        counts = [line.rsplit("members=", 1)[1].split()[0] for member in self.members for line in member.log_text().splitlines() if "MembersChanged" in line]
        return counts.count(str(count)) >= 3

    async def play(self):
        await self.start({"upsert": {"services": {"plain": self.service(1)}, "routes": {"r1": self.route("plain", "safe", "/p/", 1)}}})
        await self.until(lambda: self.settled(4), "the fourth member joins")
        await asyncio.sleep(CATCH_UP_S)
        leader = await self.leader()
        frozen, replaced = [member for member in self.members if member is not leader][:2]
        self.record.write(f"leader {leader.name}, to be frozen {frozen.name}, to be replaced {replaced.name}")
        if HAS_TROUBLE:
            frozen.pause()
            await asyncio.sleep(FREEZE_S)
            frozen.resume()
        await asyncio.sleep(CATCH_UP_S + 0.5)
        # The tolerance is one machine. The frozen one has been back for more than catch_up_s.
        replaced.end()
        self.record.write(f"{replaced.name} is gone for good")
        await asyncio.sleep(SUCCESSOR_DELAY_S)
        successor = Process(self, "member-5", 9, True)
        successor.write_settings(False)
        successor.start()
        await asyncio.sleep(CATCH_UP_S + 0.2)
        # The successor has been there for catch_up_s, so the machine that it replaces no longer counts as lost.
        status, _ = await self.order({"upsert": {"routes": {"r1": self.route("plain", "safe", "/p/", 2)}}})
        if status != 200:
            raise CannotRun(f"the second version was refused: {status}")
        leader = await self.leader(successor)
        leader.end()
        shutil.rmtree(leader.data_folder())
        self.record.write(f"{leader.name} has acknowledged version 2 and loses its disk")
        await asyncio.sleep(DOWN_S)
        leader.write_settings(False)
        leader.start()
        back_at = time.monotonic()
        self.members.append(successor)
        # Everything but the replaced machine is back. Within recovery_s the operator has to read what was acknowledged.
        read = None
        while time.monotonic() < back_at + RECOVERY_S + 10 and read is None:
            read = await self.read_back()
            await asyncio.sleep(0.2)
        self.record.write(f"read back {time.monotonic() - back_at:.1f} s after all were back: {str(read)[:300]}")
        if read is None:
            return [f"CONFIG: nothing is read back for {time.monotonic() - back_at:.1f} s after all machines were back, though version 2 was acknowledged"]
        version = read["routes"].get("r1", {}).get("version")
        return [] if version == "00000002" else [f"CONFIG: route r1 is read back as version {version}, and 00000002 was acknowledged"]


main(FrozenMember, pathlib.Path(__file__).resolve().parent)
