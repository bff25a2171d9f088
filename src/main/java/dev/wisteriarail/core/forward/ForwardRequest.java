package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.tenant.ApiKeyDigest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The properties of a caller's request that forwarding decisions depend on; the adapter keeps its
 * headers and body.
 *
 * @param exchange number of the request on this node
 * @param id the caller's identifier of this attempt
 * @param host the host in the request
 * @param path the path without the query
 * @param callerTimeout how long the caller waits for the complete response, if specified
 * @param model the model; empty for a plain service
 * @param adapter the adapter of the model
 * @param statesTokens whether the request states its token usage
 * @param promptTokens number of tokens of the prompt; 0 if unknown
 * @param answerTokens maximum number of tokens of the response; 0 if unknown
 * @param parts the parts of the prompt in order
 * @param fingerprint identifies method, target and body across all attempts, whoever sends them
 * @param credentials identifies what the headers tell a runner about the caller; 0 without any
 * @param apiKey digest of the caller's API key; empty without usable credentials
 */
public record ForwardRequest(
    long exchange,
    String id,
    String host,
    String path,
    Optional<Duration> callerTimeout,
    Optional<String> model,
    Optional<String> adapter,
    boolean statesTokens,
    int promptTokens,
    int answerTokens,
    List<PromptPart> parts,
    long fingerprint,
    long credentials,
    Optional<ApiKeyDigest> apiKey) {

  /** Copies the list of parts. */
  public ForwardRequest {
    parts = List.copyOf(parts);
  }

  /** Returns the parts of the prompt that other requests may share: all but the last. */
  public List<RequestTrait> sharedParts() {
    List<PromptPart> shared = parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    return shared.stream().map(part -> RequestTrait.ofPart(part.id())).distinct().toList();
  }

  /** Returns the content of the request as a trait. */
  public RequestTrait content() {
    return RequestTrait.ofContent(fingerprint);
  }

  /**
   * Returns the content for the model and the caller of the request as a trait.
   *
   * @param tenant name of the caller's tenant; empty where the runner gets the caller's credentials
   */
  public RequestTrait callerContent(Optional<String> tenant) {
    String caller = tenant.map(name -> "tenant " + name).orElse("credentials " + credentials);
    return RequestTrait.ofCallerContent(
        fingerprint, String.join("\n", caller, model.orElse(""), adapter.orElse("")));
  }

  /**
   * Returns the part of the prompt that identifies the session: the last but one. Empty with fewer
   * than two parts.
   */
  public Optional<String> session() {
    return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2).id());
  }
}
