package dev.wisteriarail.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Targets and request settings of a load run.
 *
 * @param targets base addresses of nodes
 * @param tokens bearer tokens, one per caller
 * @param kind request kind; empty for the default kind of the node
 * @param callServices whether to call application services instead of models
 * @param maxTokens maximum number of tokens per answer
 * @param timeout maximum duration of one call
 */
public record LoadSetup(
    List<String> targets,
    List<String> tokens,
    Optional<String> kind,
    boolean callServices,
    int maxTokens,
    Duration timeout) {

  /** Makes defensive copies of the lists. */
  public LoadSetup {
    targets = List.copyOf(targets);
    tokens = List.copyOf(tokens);
  }
}
