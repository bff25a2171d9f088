package dev.wisteriarail.core.forward;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id names the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
