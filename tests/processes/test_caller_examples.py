"""Runs the examples of docs/CALLERS.md against a deployment of processes."""

import json
import re
import tempfile
import unittest

from deployment import ROOT, Deployment

EXAMPLE = re.compile(r"```http\n(\w+) (\S+)\n(.*?)\n=> (\d+) ?(\w*)\n```", re.S)


class CallerExamplesTest(unittest.TestCase):
    def test_every_example(self):
        text = (ROOT / "docs/CALLERS.md").read_text()
        examples = EXAMPLE.findall(text)
        self.assertEqual(len(examples), text.count("```http"))
        with tempfile.TemporaryDirectory() as folder:
            system = Deployment(folder)
            self.addCleanup(system.close)
            system.wait_until_ready()
            transaction = "NAME"
            for number, (_, target, body, status, refusal) in enumerate(examples):
                instance = 1 + number % len(system.instances)
                got, answer = system.post(
                    instance, target.replace("NAME", transaction), json.loads(body))
                self.assertEqual(got, int(status), f"{target} {body} {answer}")
                if refusal:
                    self.assertEqual(answer["error"]["type"], refusal)
                transaction = answer.get("transaction", transaction)


if __name__ == "__main__":
    unittest.main()
