"""Operators' commands, settings, the questionnaire, and configuration changes."""

import json
import signal
import tempfile

import unittest

from deployment import ROOT, Deployment, run_command, wait_until


class SettingsTest(unittest.TestCase):
    def test_every_command_has_help(self):
        _, out, _ = run_command("--help")
        commands = [line.strip() for line in out.splitlines()
                    if line.startswith("  ") and not line.startswith("   ")]
        self.assertIn("serve", commands)
        for command in commands:
            status, out, _ = run_command(*command.split(), "--help")
            self.assertEqual(status, 0)
            self.assertIn("--help", out)

    def test_wrong_use_has_status_2_and_names_the_setting(self):
        cases = [
            (["fly"], "no such command: fly"),
            (["serve"], "--instance"),
            (["serve", "--nonsense"], "--nonsense"),
            (["serve", "--instance", "0"], "a whole number from 1"),
            (["status", "--operators", "localhost:1"], "HOST:PORT"),
            (["status", "extra"], "extra"),
        ]
        for arguments, expected in cases:
            status, _, errors = run_command(*arguments)
            self.assertEqual(status, 2, arguments)
            self.assertIn(expected, errors)

    def test_flag_and_environment_clash(self):
        status, _, errors = run_command(
            "status", "--operators", "127.0.0.1:1",
            environment={"PLANTAINTILLER_OPERATORS": "127.0.0.1:2"})
        self.assertEqual(status, 2)
        self.assertIn("setting_clash: --operators", errors)

    def test_examples_are_good_answers(self):
        for name in ("swanlodge", "agency"):
            status, out, errors = run_command(
                "questionnaire", "--answers", ROOT / f"examples/{name}.json",
                "--check")
            self.assertEqual(status, 0, out + errors)

    def test_explain(self):
        status, out, _ = run_command("questionnaire", "--explain", "connections")
        self.assertEqual(status, 0)
        self.assertIn("databases[].connections", out)


class OperatorsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.system = Deployment(folder.name, databases=1, instances=3)
        self.addCleanup(self.system.close)
        self.system.wait_until_ready()

    def address(self, instance):
        return f"127.0.0.1:{self.system.instances[instance]['operators']}"

    def test_status_routing_and_metrics(self):
        status, out, _ = run_command("status", "--operators", self.address(1))
        self.assertEqual(status, 0)
        self.assertIn("configuration_version: 1", out)
        status, out, _ = run_command("routing", "--json", "--operators",
                                     self.address(1))
        self.assertEqual(json.loads(out)["databases"][0]["name"],
                         "demo.database-1")
        status, out, _ = run_command("metrics", "--operators", self.address(1))
        self.assertIn("plantaintiller_served_total", out)

    def test_drain_ends_the_process(self):
        status, _, _ = run_command("drain", "--operators", self.address(2))
        self.assertEqual(status, 0)
        self.assertEqual(
            self.system.instances[2]["process"].popen.wait(20), 0)

    def test_racing_operators(self):
        answers_path = self.system.write_answers()
        platform = f"127.0.0.1:{self.system.platform_port}"
        _, configuration, _ = run_command("questionnaire", "--answers", answers_path)
        configuration_path = answers_path.with_name("configuration.json")
        configuration_path.write_text(configuration)
        arguments = ["config", "publish", "--platform", platform,
                     "--file", configuration_path, "--base-version", "1"]
        self.assertEqual(run_command(*arguments)[0], 0)
        status, _, errors = run_command(*arguments)
        self.assertEqual(status, 1)
        self.assertIn("conflict: configuration: version 2 came first", errors)

    def test_change_takes_effect_on_every_instance(self):
        self.system.answers["databases"][0]["connections"] = 8
        status, out, errors = self.system.publish_configuration()
        self.assertEqual(status, 0, out + errors)
        self.assertIn("connections 16 -> 8", out)
        for instance in self.system.instances:
            wait_until(lambda: self.system.operator_request(instance, "/v1/status")[1]
                       ["configuration_version"] == 2, "version 2 is applied")

    def test_history_and_rollback(self):
        platform = ["--platform", f"127.0.0.1:{self.system.platform_port}"]
        self.system.answers["databases"][0]["connections"] = 8
        self.assertEqual(self.system.publish_configuration()[0], 0)
        status, out, errors = run_command("config", "history", *platform)
        self.assertEqual(status, 0, errors)
        self.assertIn("version 2\n  demo.database-1: connections 16 -> 8", out)
        status, out, errors = run_command("config", "rollback", *platform,
                                          "--to", "1")
        self.assertEqual(status, 0, errors)
        self.assertIn("version 1 published as version 3", out)
        _, shown, _ = run_command("config", "show", *platform)
        self.assertEqual(json.loads(shown)["databases"][0]["connections"], 16)
        self.assertEqual(
            run_command("config", "rollback", *platform, "--to", "99")[0], 1)

    def test_leaving_primary_hands_over(self):
        self.system.answers["databases"][0]["slots"][0]["leaving"] = True
        self.assertEqual(self.system.publish_configuration()[0], 0)

        def handed_over():
            _, routing = self.system.operator_request(1, "/v1/routing")
            return routing["databases"][0]["primary"] == 1
        wait_until(handed_over, "the other server is primary")
        status, answer = self.system.send_statement(
            2, "CREATE TABLE after_leaving(a TEXT)", access="write")
        self.assertEqual(status, 200, answer)

    def test_new_instance_gets_configuration_from_peers_during_store_outage(self):
        # The peers need not know the instance beforehand: its heartbeats announce it.
        self.system.set_platform_faults(down=True)
        peers = ",".join(
            f"{number}@{instance['zone']}=127.0.0.1:{instance['peers']}"
            for number, instance in self.system.instances.items() if number != 3)
        old = self.system.instances[3]
        old["process"].send_signal(signal.SIGKILL)
        old["process"].popen.wait()
        old["process"] = self.system.start_process(
            "instance-3-again",
            ["serve", "--instance", "3", "--zone", old["zone"],
             "--platform", f"127.0.0.1:{self.system.platform_port}",
             "--callers", f"127.0.0.1:{old['callers']}",
             "--operators", f"127.0.0.1:{old['operators']}",
             "--peers", f"127.0.0.1:{old['peers']}", "--seeds", peers])
        wait_until(lambda: self.system.operator_request(3, "/v1/ready")[0] == 200,
                   "the new instance has a configuration")

    def test_transaction_over_instances(self):
        name = self.system.database_name(1)
        self.system.send_statement(1, "CREATE TABLE moved(a TEXT)", access="write")
        _, opened = self.system.post(1, "/v1/transactions", {"database": name})
        path = f"/v1/transactions/{opened['transaction']}"
        status, answer = self.system.post(
            2, path + "/statements",
            {"database": name, "sql": "INSERT INTO moved VALUES('x')"})
        self.assertEqual(status, 200, answer)
        status, done = self.system.post(3, path + "/commit",
                                        {"database": name, "request_id": "c1"})
        self.assertEqual(status, 200, done)
        _, read = self.system.send_statement(1, "SELECT a FROM moved",
                                             session_token=done["session_token"])
        self.assertEqual(read["result"]["rows"], [["x"]])

    def test_transaction_of_a_dead_instance_is_rolled_back(self):
        name = self.system.database_name(1)
        self.system.send_statement(1, "CREATE TABLE gone(a TEXT)", access="write")
        _, opened = self.system.post(1, "/v1/transactions", {"database": name})
        path = f"/v1/transactions/{opened['transaction']}"
        self.system.post(1, path + "/statements",
                         {"database": name, "sql": "INSERT INTO gone VALUES('x')"})
        executor = int(opened["transaction"].split("-")[0])
        self.system.instances[executor]["process"].kill()
        other = next(n for n in self.system.instances if n != executor)
        wait_until(lambda: self.system.send_statement(
            other, "INSERT INTO gone VALUES('y')", access="write")[0] == 200,
            "writes are served again")
        _, read = self.system.send_statement(other, "SELECT a FROM gone",
                                             max_staleness_ms=0)
        self.assertNotIn(["x"], read["result"]["rows"])


if __name__ == "__main__":
    unittest.main()
