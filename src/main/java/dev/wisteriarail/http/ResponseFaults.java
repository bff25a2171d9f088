package dev.wisteriarail.http;

/** Recognises responses of runners that are not valid HTTP. Stateless. */
public final class ResponseFaults {

  private static final int LOWEST_STATUS = 100;
  private static final int HIGHEST_STATUS = 599;

  private ResponseFaults() {}

  /** Returns whether a status code is in the range that RFC 9110, section 15, allows. */
  public static boolean isValidStatus(int status) {
    return status >= LOWEST_STATUS && status <= HIGHEST_STATUS;
  }
}
