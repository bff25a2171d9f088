package dev.wisteriarail.core.log;

import dev.wisteriarail.core.id.RecordId;

/**
 * A record in the log.
 *
 * @param offset its offset
 * @param id its identifier; a later record with the same identifier is a repeat and is ignored
 * @param writer the node or tool that appended it
 * @param body its content
 */
public record LogRecord(long offset, RecordId id, String writer, RecordBody body) {}
