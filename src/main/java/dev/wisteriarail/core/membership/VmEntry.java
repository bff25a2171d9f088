package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;

/**
 * Entry of one node in the platform's VM list. The list may be out of date.
 *
 * @param node the node on the VM
 * @param host the VM's IP address
 * @param port the node's port for peer connections
 * @param failureDomain the VM's failure domain
 * @param leaving whether the platform is about to remove the VM
 */
public record VmEntry(
    NodeId node, String host, int port, FailureDomain failureDomain, boolean leaving) {}
