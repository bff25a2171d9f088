package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.log.LogHealth;
import dev.wisteriarail.core.membership.Membership;
import dev.wisteriarail.core.routing.RunnerTable;

/**
 * The state of the rest of the node that a controller reads in one step.
 *
 * @param configuration the configuration in force
 * @param membership the nodes and whether they are alive
 * @param runners the runners and whether they are usable
 * @param log whether the log can be read
 */
public record ControllerContext(
    Configuration configuration, Membership membership, RunnerTable runners, LogHealth log) {}
