package dev.wisteriarail.core.forward;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifier of the part
 * @param tokens length of the part in tokens
 */
public record PromptPart(String id, int tokens) {}
