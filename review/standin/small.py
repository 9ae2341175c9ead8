"""A small deployment: the store, groups of three targets and some hosts, on loopback."""
import fleet
from group import Group
from platform_store import Store, configuration

BOUNDS = {"drainMs": 7000, "graceS": 6, "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20}
DOMAINS = ("shed-a", "shed-b", "office-c")
ACCOUNTS = {"mill": (["key-mill"], 200, 200), "desk": (["key-desk"], 200, 200)}


class Small:
    """The parts of the deployment. Hosts are started by `start_hosts`."""

    def __init__(self, record, scratch, hosts, services=("weave",), **group_options):
        self.record, self.scratch, self.hosts = record, scratch, hosts
        self.store = Store(record)
        self.address = ("127.0.0.1", fleet.free_port("127.0.0.1"))
        self.groups = [Group(self.store, record, service, **group_options) for service in services]
        self.group = self.groups[0]
        self.store.promote = self._promote
        self.version = 0

    def _promote(self, service, target, headers):
        group = next((group for group in self.groups if group.service == service), None)
        return group.promote(service, target, headers) if group else 409

    def configure(self, routes, accounts=None, **service_options):
        """Has the operator write the next version of the configuration."""
        self.version += 1
        routes = [{"service": self.group.service, **route} for route in routes]
        services = {group.service: {"maxConns": 21, "syncReplicas": group.sync_replicas,
                                    **service_options} for group in self.groups}
        value = configuration(self.version, routes, services, accounts or ACCOUNTS)
        self.store.put("op", "config", value)

    async def start(self):
        await self.store.serve(self.address)
        for group in self.groups:
            for index, domain in enumerate(DOMAINS):
                port = fleet.free_port("127.0.0.1")
                role = "replica" if index else "primary"
                group.add(f"{group.service}-{index}", ("127.0.0.1", port), domain, role)
            await group.start()

    async def start_hosts(self, count, bounds=None):
        for index in range(count):
            domain = DOMAINS[index % len(DOMAINS)]
            name, ip = f"host-{index + 1}", f"127.0.0.{11 + index}"
            host = fleet.Host(self.scratch, name, domain, ip, self.address, bounds or BOUNDS)
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            if not await host.wait_ready():
                raise RuntimeError(f"{host.name} is not ready")
