"""Commands that query daemons, on a small fleet of daemon processes."""

import json
from pathlib import Path

from papayabay_bench.fleet import Fleet, FleetPlan, ServicePlan
from papayabay_bench.fleet.settings import CLUSTER
from papayabay_bench.targets.outgoing import SERVICE_HEADER
from papayabay_bench.targets.specification import CallPath
from papayabay_cli.daemons import PATCHES
from papayabay_core.configuration import (
    PROOF_HEADER,
    encode_patches,
    new_patch,
    prove_patches,
)
from tests.functional.cli_support import CliCase

POLICY = """
[services.orders]
deadline_ms = 4000

[services.orders.retries]
credits = 2

[services.orders.calls.look-up]
methods = ["GET"]
path = "/orders/{order}"
deadline_ms = 3000
objective = { good_share = 0.9 }

[services.orders.calls.browse]
methods = ["GET"]
path = "/orders"
importance = "sheddable"
objective = { good_share = 0.9, latency_ms = 1 }
"""
REQUESTS = 4
PLAN = FleetPlan(
    services=[ServicePlan(name="orders", paths=[CallPath(prefix="/")])],
    # A paused daemon has to stay a member during the test, and no daemon may
    # poll the store after its start.
    timing={"suspicion_ms": 120_000, "config_poll_ms": 3_600_000},
)


class FleetTest(CliCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet = await self.enterAsyncContext(Fleet(PLAN))
        url = self.fleet.listener_url("orders-0", "status_port")
        platform = self.fleet.platform_url
        self.settings = self.write(
            "papayabay.toml",
            f'status_urls = ["http://127.0.0.1:9", "{url}"]\n'
            f'cluster_secret = "{CLUSTER["secret"]}"\n[platform]\n'
            f'table_url = "{platform}/table"\nobject_url = "{platform}/objects"\n',
        )
        await self.fleet.wait_members()
        file = self.write("policy.toml", POLICY)
        run = await self.run_cli("apply", file, "--expect", "0", "--author", "ilze")
        self.assertEqual(run.code, 0, run.err)
        await self.fleet.wait_version(1)
        await self.fleet.wait_services()

    async def call(self, path):
        url = self.fleet.caller_url("orders-0") + path
        headers = {SERVICE_HEADER: "orders"}
        async with self.fleet.session.get(url, headers=headers) as answer:
            self.assertEqual(answer.status, 200)
            await answer.read()

    async def test_status_and_burn_of_the_fleet(self):
        for _ in range(REQUESTS):
            await self.call("/orders/7")
            await self.call("/orders")
        status = await self.run_cli("status")
        self.assertEqual((status.code, status.err), (0, ""))
        for name in ("orders-0", "orders-1"):
            self.assertRegex(status.out, rf"(?m)^{name} +domain-\d +orders +1 +2")
        page = str(self.directory / "burn.html")
        report = await self.run_cli("report", "burn", "--json", "--html", page)
        self.assertEqual(report.code, 0, report.err)
        paths = {path["call"]: path for path in report.values["paths"]}
        counts = {call: path["outcomes"]["5m"] for call, path in paths.items()}
        self.assertEqual(counts["look-up"]["good"], REQUESTS)
        self.assertEqual(counts["browse"]["slow"], REQUESTS)
        self.assertAlmostEqual(paths["browse"]["rates"]["1h"], 10.0)
        self.assertEqual(paths["browse"]["share_of_bad"], 1.0)
        self.assertIn("data:image/png;base64,", Path(page).read_text())

    async def test_a_daemon_that_does_not_answer_is_listed(self):
        """Guards against reports that count an unresponsive daemon as zero.

        A daemon is paused while the report is made; the report seemed complete
        though its counts were missing.
        """
        self.fleet.pause("orders-1")
        self.addCleanup(self.fleet.resume, "orders-1")
        status = await self.run_cli("status", "--json")
        self.assertEqual(status.code, 0, status.err)
        self.assertEqual(list(status.values["heard"]), ["orders-0"])
        self.assertEqual(list(status.values["not_heard"]), ["orders-1"])
        self.assertIn("not heard (1)", (await self.run_cli("status")).out)
        report = await self.run_cli("report", "burn")
        self.assertIn("not heard: orders-1", report.out)

    async def test_accepted_patch_is_in_force_while_the_store_is_down(self):
        """Guards against an accepted patch that no daemon knows of.

        The store fails right after the commit, before any daemon has polled
        it; the patch came in force only when the store was back.
        """
        file = self.write("policy.toml", POLICY.replace("3000", "2500"))
        run = await self.run_cli("apply", file, "--expect", "1")
        self.assertEqual((run.code, run.err), (0, ""))
        await self.fleet.platform_faults(down="close")
        await self.fleet.wait_version(2)

    async def test_patches_without_the_proof_are_refused(self):
        """Guards against patches from processes without the cluster's secret.

        Any process that could reach a daemon's status port could put a version
        in force on all daemons that the store never had.
        """
        content = encode_patches([new_patch(1, {"services": {}}, "nobody", "")])
        url = self.fleet.listener_url("orders-0", "status_port") + PATCHES
        other = prove_patches("another secret", content)
        for headers in ({}, {PROOF_HEADER: other}, {PROOF_HEADER: "é"}):
            async with self.fleet.session.post(
                url, data=content, headers=headers
            ) as answer:
                self.assertEqual(answer.status, 400)
                self.assertIn(PROOF_HEADER, await answer.text())
        page = await self.fleet.status("orders-0")
        self.assertEqual(page["configuration"]["version"], 1)
        right = {PROOF_HEADER: prove_patches(CLUSTER["secret"], content)}
        async with self.fleet.session.post(url, data=content, headers=right) as answer:
            self.assertEqual(
                (answer.status, await answer.json()), (200, {"version": 2})
            )

    async def test_explain_prints_settings_with_their_patches(self):
        changed = POLICY.replace("deadline_ms = 3000", "deadline_ms = 2500")
        file = self.write("policy.toml", changed)
        more = ("--author", "marco", "--message", "shorter")
        await self.run_cli("apply", file, "--expect", "1", *more)
        words = ("explain", "GET", "/orders/7?full=1", "--service", "orders")
        run = await self.run_cli(*words, "--json")
        self.assertEqual(run.code, 0, run.err)
        facts = run.values["facts"]
        for name, value, version in (
            ("call path", "orders/look-up", 2),
            ("class", "normal", None),
            ("lifetime_ms", 2500, 2),
            ("retry_credits", 2, 1),
            ("admission.queue_target_ms", 20, None),
        ):
            found = facts[name]["value"], facts[name]["set_by_version"]
            self.assertEqual(found, (value, version), name)
        self.assertIn("version 2 by marco: shorter", (await self.run_cli(*words)).out)
        other = await self.run_cli("explain", "GET", "/", "--service", "nobody")
        self.assertEqual(other.code, 2)
        self.assertIn("names no service 'nobody'", other.err)


class NoDaemonTest(CliCase):
    async def test_unreachable_daemons_exit_with_5(self):
        self.write_settings(["http://127.0.0.1:9"])
        for words in (["status"], ["report", "burn"]):
            run = await self.run_cli(*words)
            self.assertEqual((run.code, run.out), (5, ""))
            self.assertEqual(len(run.err.splitlines()), 1)
        self.write_settings([])
        self.assertEqual((await self.run_cli("status")).code, 2)

    async def test_report_from_a_file(self):
        recording = {
            "recorded_at_ms": 1_764_000_000_000,
            "version": 7,
            "objectives": [],
            "counts": {},
            "heard": {"a": 7},
            "not_heard": {"b": "TimeoutError: "},
        }
        file = self.write("report.json", json.dumps({"recording": recording}))
        run = await self.run_cli("report", "burn", "--from-file", file)
        self.assertEqual(run.code, 0, run.err)
        self.assertIn("not heard: b", run.out)
        bad = self.write("bad.json", json.dumps({"recording": {"version": "x"}}))
        run = await self.run_cli("report", "burn", "--from-file", bad)
        self.assertEqual(run.code, 2)
        self.assertIn(f"{bad}: version: ", run.err)
