package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.RecordBody;

/**
 * A record that its controller could not read back from the log and told its peers.
 *
 * @param number its position among the controller's records
 * @param id its identifier, the same as in the log later on
 * @param body its content
 */
public record OutageRecord(long number, RecordId id, RecordBody body) {}
