"""Creates a control server with its other gRPC services, for the service's own process or for a worker."""

from __future__ import annotations

from harecross.platform.log import log_line
from harecross.xds import load_report_service, status
from harecross.xds.access import matches_any
from harecross.xds.client_identity import AllowedClusters
from harecross.xds.load_report_service import LoadReportSinkLookup
from harecross.xds.resources import ResourceEncoder
from harecross.xds.server import ControlServer
from harecross.xds.status import StatusRows
from harecross.xds.tls import server_credentials
from harecross.xds.worker_channel import WorkerSetup


def create_server(
    setup: WorkerSetup,
    allowed_clusters: AllowedClusters,
    load_report_sink: LoadReportSinkLookup,
    status_rows: StatusRows | None = None,
) -> ControlServer:
    """Creates a control server that also answers status queries and receives load reports.

    `status_rows` replaces the status of the server's own streams where other workers have streams too.
    """
    server = ControlServer(setup.limits, allowed_clusters, log_line)
    rows = status_rows or status.local_status_rows(server)
    server.add_handler(status.status_handler(rows, lambda names: matches_any(setup.status, names)))
    if setup.load_reports_s:
        server.add_handler(
            load_report_service.load_report_handler(load_report_sink, allowed_clusters, setup.load_reports_s)
        )
    return server


def create_encoder(setup: WorkerSetup) -> ResourceEncoder:
    """Creates the encoder of the published resources."""
    return ResourceEncoder(adaptive_concurrency=setup.adaptive, load_reports=setup.load_reports_s > 0)


async def listen(server: ControlServer, setup: WorkerSetup, *, shared: bool = False) -> int:
    """Starts a control server and returns its port. Raises OSError or ValueError if it cannot listen."""
    credentials = server_credentials(setup.tls, log_line) if setup.tls is not None else None
    return await server.start(setup.listen, credentials, shared=shared)
