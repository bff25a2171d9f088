package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;

/**
 * One node on the platform's VM list. The list lags.
 *
 * @param node the node on it
 * @param host its IP number
 * @param port its port for peers
 * @param failureDomain where it stands
 * @param leaving whether the platform is about to take it away
 */
public record VmEntry(
    NodeId node, String host, int port, FailureDomain failureDomain, boolean leaving) {}
