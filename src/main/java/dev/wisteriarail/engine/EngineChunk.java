package dev.wisteriarail.engine;

/**
 * One line of an engine's answer.
 *
 * @param position number of pieces before it
 * @param text the piece; empty on the last line
 * @param end whether the answer is complete
 */
public record EngineChunk(long position, String text, boolean end) {}
