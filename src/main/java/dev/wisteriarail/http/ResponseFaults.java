package dev.wisteriarail.http;

import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.http.HttpException;

/** Recognises responses of runners that are not valid HTTP. Stateless. */
public final class ResponseFaults {

  private static final int LOWEST_STATUS = 100;
  private static final int HIGHEST_STATUS = 599;

  private ResponseFaults() {}

  /** Returns whether a status code is in the range that RFC 9110, section 15, allows. */
  public static boolean isValidStatus(int status) {
    return status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
  }

  /**
   * Returns whether an exchange failed because the response cannot be parsed. The client closes the
   * connection then, which is no sign that the runner has ended.
   */
  public static boolean isUnreadable(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof HttpException || cause instanceof HttpResponseException) {
        return true;
      }
    }
    return false;
  }
}
