"""Commands that read and change the configuration, and their exit codes."""

import asyncio
import re
import signal
import tomllib

from papayabay_bench.fleet.waiting import wait_until
from papayabay_core.configuration import ConfigurationLog, new_patch
from papayabay_core.platform import HttpObjectStore, HttpTableService
from tests.functional.cli_support import EXAMPLES, CliCase


class CheckTest(CliCase):
    async def test_every_example_is_valid(self):
        files = sorted(map(str, EXAMPLES.glob("*.toml")))
        run = await self.run_cli("check", *files)
        self.assertEqual((run.code, run.err), (0, ""))
        self.assertEqual(len(run.out.splitlines()), 4)
        self.assertIn("daemon.toml: valid daemon settings", run.out)
        self.assertIn("operator.toml: valid operator settings", run.out)
        self.assertIn("baltkrasts.toml: valid policy", run.out)
        self.assertIn("diritti-padani.toml: valid policy", run.out)
        self.assertEqual(self.platform.stand_in.counters.values()["reads"], 0)

    async def test_every_error_is_printed_with_file_and_key(self):
        policy = self.write(
            "p.toml",
            "[services.a]\ndeadline_ms = -1\nretrys = 3\n"
            '[services.a.calls.c]\nmethods = ["GET"]\npath = "x"\n',
        )
        daemon = self.write("d.toml", '[vm]\nname = "n"\n')
        unknown = self.write("s.toml", "color = 1\n")
        run = await self.run_cli("check", policy, daemon, unknown, "/missing.toml")
        self.assertEqual((run.code, run.out), (2, ""))
        for expected in (
            f"{policy}: services.a.deadline_ms: ",
            f"{policy}: services.a.retrys: ",
            f"{policy}: services.a.calls.c.path: ",
            f"{daemon}: vm.failure_domain: ",
            f"{daemon}: cluster: ",
            f"{unknown}: (whole file): ",
            "/missing.toml: No such file",
        ):
            self.assertIn(expected, run.err)

    async def test_json_has_a_result_for_each_file(self):
        bad = self.write("p.toml", "[services.a]\nretrys = 3\n")
        run = await self.run_cli("check", "--json", bad, str(EXAMPLES / "daemon.toml"))
        self.assertEqual(run.code, 2)
        self.assertEqual([bool(one["errors"]) for one in run.values], [True, False])


class UsageTest(CliCase):
    async def test_wrong_usage_exits_with_2_and_writes_nothing(self):
        """Guards against exit code 2 after the patch was stored.

        The argument parser reports unknown flags only after it has called the
        command, which had committed the patch by then.
        """
        file = self.policy_file(1)
        for arguments, message in (
            (["apply", file, "--expect", "0", "--autor", "x"], "autor"),
            (["apply", file], "expect"),
            (["apply", file, "--expect", "now"], "--expect: 'now'"),
            (["history", "--limit", "0"], "--limit"),
            (["history", "--limit", "9" * 5000], "--limit"),
            (["apply", file, "--expect", "0", "--message"], "--message"),
            (["check"], "at least one file"),
            (["aply", file], "aply"),
            (["report", "brun"], "brun"),
        ):
            with self.subTest(arguments=arguments):
                run = await self.run_cli(*arguments)
                self.assertEqual(run.code, 2)
                self.assertIn(message, run.err)
        self.assertEqual(self.platform.stand_in.counters.values()["writes"], 0)

    async def test_help_of_commands_lists_exit_codes(self):
        commands = "check diff apply settle show history status explain"
        for words in (*([name] for name in commands.split()), ["report", "burn"]):
            run = await self.run_cli(*words, "--help")
            self.assertEqual(run.code, 0, words)
            self.assertIn("Exit codes:", run.out + run.err, words)


class ApplyTest(CliCase):
    async def test_policy_is_applied_compared_and_listed(self):
        made = await self.apply(1000, 0, "--author", "ilze", "--message", "007")
        self.assertEqual(made.code, 0)
        self.assertIn("accepted: version 1", made.out)
        again = await self.apply(1000, 1)
        self.assertEqual(again.code, 0)
        self.assertIn("nothing to change", again.out)
        compared = await self.run_cli("diff", self.policy_file(1500))
        self.assertEqual(compared.code, 0)
        self.assertIn("services.orders.deadline_ms: 1000 → 1500", compared.out)
        second = await self.apply(1500, 1, "--json", "--author", "marco")
        self.assertEqual(second.values["version"], 2)
        history = await self.run_cli("history", "--json")
        self.assertEqual(
            [(p["version"], p["author"], p["message"]) for p in history.values],
            [(2, "marco", ""), (1, "ilze", "007")],
        )
        listed = await self.run_cli("history", "--limit", "1")
        self.assertRegex(listed.out, r"(?m)^2 .*marco")
        self.assertNotIn("ilze", listed.out)

    async def test_show_prints_the_policy_as_it_was_applied(self):
        file = str(EXAMPLES / "baltkrasts.toml")
        await self.run_cli("apply", file, "--expect", "0")
        await self.apply(1, 1)
        shown = await self.run_cli("show", "--version", "1")
        with open(file, "rb") as declared:
            self.assertEqual(tomllib.loads(shown.out), tomllib.load(declared))
        newest = await self.run_cli("show", "--json")
        self.assertEqual(newest.values["version"], 2)
        missing = await self.run_cli("show", "--version", "9")
        self.assertEqual((missing.code, missing.out), (2, ""))
        self.assertIn("there is no version 9", missing.err)

    async def test_stale_lists_the_patches_since_the_base_version(self):
        await self.apply(1000, 0)
        await self.apply(1100, 1, "--author", "ilze", "--message", "shift start")
        run = await self.apply(1200, 1)
        self.assertEqual(run.code, 3)
        for text in ("2 is current", "ilze", "shift start", "orders.deadline_ms"):
            self.assertIn(text, run.err)
        again = await self.apply(1000, 1, "--json")
        self.assertEqual(again.code, 3)
        self.assertEqual(again.values["changes"][0]["author"], "ilze")
        shown = await self.run_cli("show")
        self.assertIn("deadline_ms = 1100", shown.out)

    async def test_of_concurrent_patches_exactly_one_is_accepted(self):
        """Guards against a patch that silently overwrites a concurrent one.

        Several operators read version 1 and write version 2; the store must
        reject every write but the first.
        """
        await self.apply(1000, 0)
        runs = await asyncio.gather(
            *(self.apply(1001 + number, 1, "--json") for number in range(4))
        )
        self.assertEqual(sorted(run.code for run in runs), [0, 3, 3, 3])
        winner = next(n for n, run in enumerate(runs) if run.code == 0)
        shown = await self.run_cli("show", "--json")
        self.assertEqual(shown.values["version"], 2)
        orders = shown.values["values"]["services"]["orders"]
        self.assertEqual(orders["deadline_ms"], 1001 + winner)

    async def test_store_down_exits_with_5_and_writes_nothing(self):
        await self.apply(1000, 0)
        for down in ("close", "unavailable"):
            self.fail_with(down=down)
            run = await self.apply(1100, 1)
            self.assertEqual(run.code, 5, down)
            self.assertEqual(len(run.err.splitlines()), 1, run.err)
            for command in (["show"], ["history"], ["diff", self.policy_file(7)]):
                self.assertEqual((await self.run_cli(*command)).code, 5, command)
        self.fail_with()
        self.assertIn("deadline_ms = 1000", (await self.run_cli("show")).out)

    async def test_after_a_lost_answer_the_patch_is_read_back(self):
        """Guards against an accepted patch that is reported as failed.

        The store applies the write, but the connection breaks before its
        answer arrives; the operator would apply the patch twice.
        """
        self.fail_with(kind="table", lost_answer=1.0)
        run = await self.apply(1000, 0)
        self.assertEqual(run.code, 0, run.err)
        self.assertIn("accepted: version 1", run.out)

    async def test_unknown_outcome_prints_the_settle_command(self):
        """Guards against an operator who can't find out a patch's outcome.

        The write takes effect and its answer is lost; reads return the state
        before the write for as long as the command retries.
        """
        self.fail_with(kind="table", lost_answer=1.0, stale_ms=8_000)
        run = await self.apply(1000, 0)
        self.assertEqual(run.code, 4, run.err)
        command = re.search(r"papayabay (settle \w+ --base 0)", run.err)[1].split()
        still = await self.run_cli(*command)
        self.assertEqual(still.code, 4)
        self.fail_with()
        settled = await self.run_cli(*command)
        self.assertEqual(settled.code, 0, settled.err)
        other = await self.run_cli("settle", "123456", "--base", "0", "--json")
        self.assertEqual((other.code, other.values["patch_id"]), (3, "123456"))

    async def test_interrupted_apply_prints_the_settle_command(self):
        """Guards against a patch identifier that is lost on an interrupt.

        The write takes effect and its answer is lost; the operator presses
        Ctrl-C while the command still tries to read the outcome.
        """
        self.fail_with(kind="table", lost_answer=1.0, stale_ms=8_000)
        process = await self.start_cli("apply", self.policy_file(1), "--expect", "0")

        async def written():
            return self.platform.stand_in.counters.writes

        await wait_until(written, 30.0, "the write")
        process.send_signal(signal.SIGINT)
        run = await self.finish(process)
        self.assertEqual(run.code, 4, run.err)
        self.assertRegex(run.err, r"papayabay settle \w+ --base 0")


class SettleTest(CliCase):
    async def test_identifier_of_digits_stays_a_string(self):
        """Guards against patch identifiers that are parsed as numbers.

        `settle` did not find the stored patch `000012345678901234567890`
        because it looked for 12345678901234567890.
        """
        from dataclasses import replace

        settings = self.platform.settings()
        table, objects = HttpTableService(settings), HttpObjectStore(settings)
        self.addAsyncCleanup(table.close)
        self.addAsyncCleanup(objects.close)
        for base, patch_id in enumerate(("000012345678901234567890", "1e9")):
            changes = {"services": {"a": {"deadline_ms": base + 1}}}
            patch = replace(new_patch(base, changes), patch_id=patch_id)
            await ConfigurationLog(table, objects).commit(patch)
            run = await self.run_cli("settle", patch_id, "--base", str(base))
            self.assertEqual(run.code, 0, run.err)
