package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.RecordBody;

/**
 * A record that a controller sent to its peers because it could not read it back from the log.
 *
 * @param number its position among the controller's records
 * @param id its identifier, the same with which it is appended to the log
 * @param body its content
 */
public record OutageRecord(long number, RecordId id, RecordBody body) {}
