"""Tests the addresses and ports that sites of real processes are given."""

import unittest

import platform_site

LARGEST_PROCESS_NUMBER = 4194304


class PlatformSiteTest(unittest.TestCase):
    def test_ports_ofManyInstances_differ(self):
        names = [f"instance-{number}" for number in range(200)]
        ports = [port for given in platform_site.instance_ports(names).values() for port in given]
        self.assertEqual(len(ports), len(set(ports)))

    def test_address_ofEachProcess_differs(self):
        numbers = [*range(1, 70000), *range(LARGEST_PROCESS_NUMBER - 1000, LARGEST_PROCESS_NUMBER + 1)]
        self.assertEqual(len(numbers), len({platform_site.address_of(number) for number in numbers}))


if __name__ == "__main__":
    unittest.main()
