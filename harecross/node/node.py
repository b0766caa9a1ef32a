"""The lifecycle of a node: start, serve, reload on SIGHUP, graceful shutdown on SIGTERM and SIGINT."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket

from harecross.node.admin_operations import AdminOperations
from harecross.node.composition import build_parts
from harecross.node.config import Config, ConfigError, bind_socket
from harecross.node.graceful_shutdown import GracefulShutdown
from harecross.node.memory_report import log_memory_at_start, log_memory_state
from harecross.node.options import NodeOptions
from harecross.node.reload import reload_configuration
from harecross.node.sweeper import Sweeper
from harecross.platform.code_pages import release_code_pages
from harecross.platform.log import log_line

# Time that the start waits for the first endpoint list, so that the first requests are not routed by an older list.
FIRST_LIST_TIMEOUT_S = 0.5
GC_THRESHOLDS = (20_000, 20, 20)


class Node:
    """One running load balancer.

    Attributes:
        address: The address of the clients' listener, once it is bound.
    """

    def __init__(self, config: Config, options: NodeOptions | None = None) -> None:
        """Builds the parts. Raises ConfigError if the configuration cannot be used."""
        self.config = config
        self.options = options = options or NodeOptions()
        self.loop = asyncio.get_running_loop()
        self.parts = parts = build_parts(config, options)
        self.descriptor_budget = parts.descriptor_budget
        self.pool = parts.pool
        self.dispatcher = parts.dispatcher
        self.registry = parts.registry
        self.membership = parts.membership
        self.discovery = parts.membership.discovery
        self.client_connections = parts.client_connections
        self.admin_operations = parts.admin_operations
        parts.memory_control.on_change = lambda: log_memory_state(parts)
        if parts.admin_operations is not None:
            parts.admin_operations.on_refresh = parts.make_room_for_others
        self.sweeper = Sweeper(parts, options.report_interval_s)
        self.address: tuple[str, int] = ("", 0)
        self.started = asyncio.Event()
        self.stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serves until a signal, then shuts down gracefully. Raises ConfigError if the node cannot start."""
        self.handle_signals()
        release_code_pages()  # those of the imports, before the first list is parsed
        self.dispatcher.start()
        await self.start_services()
        self.start_membership()
        self.listen()
        await self.wait_for_first_list()
        self.serve()
        await self.stop_requested.wait()
        await self.shut_down()

    def handle_signals(self) -> None:
        """Installs the signal handlers. `run` calls it first, because a signal without a handler ends the process."""
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_requested.set)

    def reload(self) -> None:
        """Reloads the configuration, unless the node is shutting down."""
        if self.stop_requested.is_set():
            log_line("configuration not reloaded: the node is shutting down")
        else:
            reload_configuration(self.config, self.membership)

    async def start_services(self) -> None:
        """Starts the embedded service and the admin server."""
        if self.options.embedded_service is not None:
            try:
                await self.options.embedded_service.start(self.dispatcher, self.registry)
            except OSError as error:
                raise ConfigError(f"xds.listen {error}") from None
        if self.admin_operations is not None and self.config.admin is not None:
            await self.start_admin_server(self.admin_operations, self.config.admin)

    async def start_admin_server(self, operations: AdminOperations, address: tuple[str, int]) -> None:
        """Applies the stored maintenance state and opens the admin server.

        This happens before the first endpoint list arrives, so that this process never uses a server in maintenance.
        """
        try:
            operations.store.acquire_process_lock()
        except OSError as error:
            log_line(
                f"{operations.store.process_lock_path}: maintenance changes will not outlive this process: "
                f"{error.strerror}"
            )
        if self.parts.shared_ids is not None:
            self.parts.shared_ids.open()
        operations.store.refresh()
        operations.apply_maintenance()
        self.parts.divide_resources()
        self.parts.memory_control.refresh()
        try:
            await operations.listen(address)
        except OSError as error:
            raise ConfigError("admin {}:{}: {}".format(*address, error.strerror)) from None

    def start_membership(self) -> None:
        """Starts the sources of the endpoint list, and imports the learned state of a process that already serves."""
        self.membership.start(self.config.known)
        if self.admin_operations is not None:
            self.admin_operations.load_learned_state()
        other_processes = self.parts.other_processes()
        self.membership.start_watch(other_processes)
        if self.admin_operations is not None and other_processes and self.membership.watches_platform():
            self.admin_operations.list_handover.start_takeover()

    def listen(self) -> None:
        """Opens the clients' listener. Connections wait in its backlog until `serve` is called."""
        listener = self.options.inherited_listener or self.bind()
        self.client_connections.listen(listener, self.options.listen_backlog)
        self.address = listener.getsockname()

    def bind(self) -> socket.socket:
        """Returns a socket that is bound to the clients' address. Raises ConfigError if it cannot be bound."""
        try:
            return bind_socket(self.config.listen)
        except OSError as error:
            raise ConfigError("listen {}:{}: {}".format(*self.config.listen, error.strerror)) from None

    async def wait_for_first_list(self) -> None:
        """Returns on the first endpoint list, on a request to stop, or after `FIRST_LIST_TIMEOUT_S`."""
        events = (self.membership.first_list_received, self.stop_requested)
        tasks = [self.loop.create_task(event.wait()) for event in events]
        await asyncio.wait(tasks, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def serve(self) -> None:
        """Starts to accept connections, and tunes garbage collection for the steady state."""
        self.client_connections.start_accepting()
        self.sweeper.start()
        gc.collect()
        gc.freeze()
        release_code_pages()
        gc.set_threshold(*GC_THRESHOLDS)
        self.parts.memory_control.refresh()
        self.parts.memory_control.note_least_size()
        log_memory_at_start(self.parts)
        if self.admin_operations is not None:
            self.admin_operations.node_started()
        log_line(f"listening on {self.address[0]}:{self.address[1]}")
        self.started.set()

    async def shut_down(self) -> None:
        """Shuts down gracefully. The admin server answers until the end."""
        await GracefulShutdown(self.config, self.options, self.parts).run()
        if self.parts.memory_control.sizes is not None:
            self.parts.memory_control.sizes.close()
        if self.admin_operations is not None:
            self.admin_operations.close()
        self.sweeper.report()
