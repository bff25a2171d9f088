package dev.wisteriarail.engine;

/**
 * One line of an engine's answer.
 *
 * @param position number of chunks before it
 * @param text the text of the chunk; empty on the last line
 * @param end whether the answer is complete
 */
public record EngineChunk(long position, String text, boolean end) {}
