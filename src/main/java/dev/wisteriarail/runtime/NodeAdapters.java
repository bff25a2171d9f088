package dev.wisteriarail.runtime;

import dev.wisteriarail.spi.CallerGateway;
import dev.wisteriarail.spi.EngineClient;
import dev.wisteriarail.spi.LogService;
import dev.wisteriarail.spi.PeerTransport;
import dev.wisteriarail.spi.VmList;

/**
 * The adapters through which a core reaches its environment.
 *
 * @param engines client of engines and plain services
 * @param log client of the platform's log
 * @param vmList client of the platform's VM list
 * @param peers the transport to peers
 * @param callers gateway for answers to callers
 * @param events the event log
 */
public record NodeAdapters(
    EngineClient engines,
    LogService log,
    VmList vmList,
    PeerTransport peers,
    CallerGateway callers,
    EventLog events) {}
