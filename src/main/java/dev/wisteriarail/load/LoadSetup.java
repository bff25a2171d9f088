package dev.wisteriarail.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a load run sends to.
 *
 * @param targets base addresses of nodes
 * @param tokens bearer tokens, one a caller
 * @param kind kind of request; empty for the node's default
 * @param callServices whether to call plain services instead of models
 * @param maxTokens pieces asked for in each answer
 * @param timeout longest wait for one answer
 */
public record LoadSetup(
    List<String> targets,
    List<String> tokens,
    Optional<String> kind,
    boolean callServices,
    int maxTokens,
    Duration timeout) {

  /** Copies the lists. */
  public LoadSetup {
    targets = List.copyOf(targets);
    tokens = List.copyOf(tokens);
  }
}
