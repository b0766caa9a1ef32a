"""Builds the parts of a node from its configuration."""

from __future__ import annotations

import os
from dataclasses import dataclass
from time import monotonic

from harecross.discovery.discovery_client import MAX_RETIRED_WATCHES, DiscoveryClient
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.readiness import ListReadiness, max_start_wait_s
from harecross.discovery.subscription_schedule import discovery_settings
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.connection_manager import MAX_ACCEPTS_PER_TURN, ConnectionManager
from harecross.http.request_parser import RequestParser
from harecross.node.admin_operations import AdminOperations
from harecross.node.admin_server import MAX_ADMIN_CONNECTIONS
from harecross.node.config import Config, ConfigError
from harecross.node.handover_store import HandoverStore
from harecross.node.membership import Membership
from harecross.node.memory_control import MemoryControl
from harecross.node.options import AdditionalSources, NodeOptions
from harecross.node.process_sizes import ProcessSizes
from harecross.node.resource_shares import ResourceShares, request_body_bytes
from harecross.node.shared_ids import SharedIds
from harecross.platform.allocator import FreeMemory
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.process_memory import ResidentSize
from harecross.upstream.connection_pool import ConnectionPool

# Descriptors for connections that are about to be closed, two watches, the watches of earlier discoveries, and files.
RESERVED_DESCRIPTORS = MAX_ACCEPTS_PER_TURN + 9 + MAX_RETIRED_WATCHES
ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 4
ADDITIONAL_SOURCES_DESCRIPTORS = 24  # for DNS servers, address files and the cache file
MIN_CONNECTION_DESCRIPTORS = 16
ASSUMED_OPEN_DESCRIPTORS = 16  # the number of open descriptors that is assumed if /proc cannot be read
ID_MEMORY_DIVISOR = 256  # the table of remembered IDs has the memory limit divided by this
BODY_MEMORY_DIVISOR = 4  # buffered bodies may use the memory limit divided by this


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The parts of a node, which exist as long as the node.

    Attributes:
        admin_operations: The operators' calls; None if no admin address is configured.
        shared_ids: The IDs that the node's processes share; None if no admin address is configured.
    """

    descriptor_budget: DescriptorBudget
    pool: ConnectionPool
    dispatcher: RequestDispatcher
    registry: EndpointRegistry
    membership: Membership
    client_connections: ConnectionManager
    resource_shares: ResourceShares
    memory_control: MemoryControl
    admin_operations: AdminOperations | None
    shared_ids: SharedIds | None

    def other_processes(self) -> int:
        """Returns how many other processes serve as this node."""
        operations = self.admin_operations
        return operations.store.other_processes() if operations is not None else 0

    def leave_listener(self) -> bool:
        """States that this process stops accepting; returns whether another process of this node accepts."""
        operations = self.admin_operations
        return operations is not None and operations.store.leave_listener()

    def another_is_starting(self) -> bool:
        """Returns whether another process of this node is about to accept."""
        operations = self.admin_operations
        return operations is not None and operations.store.another_is_starting()

    def make_room_for_others(self) -> None:
        """Gives up what another process of the node needs that has just been started, before it takes it."""
        sizes = self.memory_control.sizes
        if sizes is None or not sizes.others_changed():
            return
        self.divide_resources()
        self.memory_control.refresh()
        self.client_connections.shed_excess()
        self.memory_control.check()

    def divide_resources(self) -> None:
        """Divides descriptors and memory with another process of this node, if one is running."""
        self.resource_shares.divide(2 if self.other_processes() else 1)


def build_parts(config: Config, options: NodeOptions) -> NodeParts:
    """Builds a node's parts. Raises ConfigError if the configuration cannot be used."""
    budget = DescriptorBudget(connection_descriptors(config, options))
    pool = ConnectionPool(config.connect_timeout, config.idle_time, config.columns, budget)
    id_table_bytes = config.memory // ID_MEMORY_DIVISOR
    dispatcher = RequestDispatcher(config.settings, config.seed, pool, id_table_bytes)
    registry = EndpointRegistry(dispatcher, pool, config.zones, config.kinds)
    if options.attempt_log:
        open_attempt_log(config.name, options.attempt_log, dispatcher, registry)
    membership = build_membership(config, options, dispatcher, registry)
    client_connections, shares = build_client_connections(config, options, dispatcher, pool, budget)
    memory_control = MemoryControl(pool.ledger, config.memory, ResidentSize().read, FreeMemory())
    operations, shared_ids = None, None
    if config.admin is not None:
        operations = build_admin_operations(config, options, registry, client_connections, membership)
        shared_ids = SharedIds(operations.store, dispatcher.remembered_ids)
        memory_control.sizes = ProcessSizes(operations.store)
    return NodeParts(
        budget,
        pool,
        dispatcher,
        registry,
        membership,
        client_connections,
        shares,
        memory_control,
        operations,
        shared_ids,
    )


def connection_descriptors(config: Config, options: NodeOptions) -> int:
    """Returns how many descriptors client and upstream connections may use. The node itself needs the rest."""
    reserved = RESERVED_DESCRIPTORS
    if config.admin:
        reserved += ADMIN_DESCRIPTORS
    if options.additional_sources is not None:
        reserved += ADDITIONAL_SOURCES_DESCRIPTORS
    return max(MIN_CONNECTION_DESCRIPTORS, config.sockets - open_descriptors() - reserved)


def open_descriptors() -> int:
    """Returns how many descriptors this process has open."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return ASSUMED_OPEN_DESCRIPTORS


def open_attempt_log(
    node_name: str, target: str, dispatcher: RequestDispatcher, registry: EndpointRegistry
) -> None:
    """Makes the dispatcher log its attempts to the file `target`, or to standard error for "-"."""
    from harecross.follow.attempt_log import AttemptLog

    try:
        dispatcher.tracer = AttemptLog(node_name, target, registry.numbers)
    except OSError as error:
        raise ConfigError(f"log.attempts {target}: {error.strerror}") from None


def build_membership(
    config: Config, options: NodeOptions, dispatcher: RequestDispatcher, registry: EndpointRegistry
) -> Membership:
    """Builds the sources of the endpoint list and connects them to the dispatcher."""
    sources: AdditionalSources | None = None
    if options.additional_sources is not None:
        sources = options.additional_sources(registry)
    settings = discovery_settings(config.settings)
    discovery = DiscoveryClient(registry, config.discovery, settings, sources, config.seed)
    readiness = ListReadiness(monotonic(), max_start_wait_s(discovery.settings))
    dispatcher.readiness = readiness
    membership = Membership(discovery, readiness, sources)
    dispatcher.subscription = membership
    return membership


def build_client_connections(
    config: Config,
    options: NodeOptions,
    dispatcher: RequestDispatcher,
    pool: ConnectionPool,
    budget: DescriptorBudget,
) -> tuple[ConnectionManager, ResourceShares]:
    """Builds the client side, and the object that divides its budgets among the processes of the node."""
    body_bytes = config.memory // BODY_MEMORY_DIVISOR
    shared = options.inherited_listener is not None
    parser = RequestParser(config.settings, config.classes, config.tenants)
    manager = ConnectionManager(dispatcher, parser, budget, request_body_bytes(body_bytes, 1, shared=shared))
    shares = ResourceShares(budget, pool, manager, body_bytes, listener_is_shared=shared)
    shares.divide(1)
    return manager, shares


def build_admin_operations(
    config: Config,
    options: NodeOptions,
    registry: EndpointRegistry,
    client_connections: ConnectionManager,
    membership: Membership,
) -> AdminOperations:
    """Builds the handlers of the operators' calls."""
    store = options.handover_store or HandoverStore(options.state_folder, config.name)
    operations = AdminOperations(store, registry, client_connections, membership)
    if membership.additional_sources is not None:
        operations.add_sources_call(membership.additional_sources.explain)
        membership.additional_sources.on_names_changed(operations.apply_maintenance)
    return operations
