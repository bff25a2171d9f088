package dev.wisteriarail.core.gateway;

import java.util.Optional;

/**
 * What a runner learns about the caller of a request.
 *
 * @param replacesCredentials whether the caller's credentials, and what it says about its tenant,
 *     are not passed on
 * @param tenant name of the tenant that is passed on
 */
public record CallerIdentity(boolean replacesCredentials, Optional<String> tenant) {

  /** Where callers are not told apart: their headers are passed on as they are. */
  public static final CallerIdentity UNCHANGED = new CallerIdentity(false, Optional.empty());
}
