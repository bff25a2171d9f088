package dev.wisteriarail.core.log;

import dev.wisteriarail.core.id.RecordId;

/**
 * One record as it stands in the log.
 *
 * @param offset its position
 * @param id its identifier; a later record with the same identifier is a repeat and is ignored
 * @param writer the node or tool that appended it
 * @param body its content
 */
public record LogRecord(long offset, RecordId id, String writer, RecordBody body) {}
