package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.log.LogHealth;
import dev.wisteriarail.core.membership.Membership;
import dev.wisteriarail.core.routing.RunnerTable;

/**
 * What a controller reads of the rest of its node in one step.
 *
 * @param configuration the configuration in force
 * @param membership which nodes live
 * @param runners what is known of the runners
 * @param log whether the log can be read
 */
public record ControllerContext(
    Configuration configuration, Membership membership, RunnerTable runners, LogHealth log) {}
