package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What the decisions need of a caller's request; the adapter keeps its headers and its body.
 *
 * @param exchange number of the request on this node
 * @param id the caller's name for this try
 * @param host the host that the caller named
 * @param path path without the query
 * @param callerTimeout time that the caller waits for the whole answer, if it says so
 * @param model the model; empty for a plain service
 * @param adapter the model's adapter
 * @param promptTokens tokens of the prompt; 0 where the caller does not say
 * @param answerTokens most tokens of the answer; 0 where the caller does not say
 * @param parts the parts of the prompt in order
 * @param fingerprint identifies method, path, caller and body over all tries
 */
public record ForwardRequest(
    long exchange,
    String id,
    String host,
    String path,
    Optional<Duration> callerTimeout,
    Optional<String> model,
    Optional<String> adapter,
    int promptTokens,
    int answerTokens,
    List<PromptPart> parts,
    long fingerprint) {

  /** Copies the list. */
  public ForwardRequest {
    parts = List.copyOf(parts);
  }

  /** Returns the part that belongs to the request's session; empty without parts. */
  public Optional<String> session() {
    return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2).id());
  }
}
