package dev.wisteriarail.standin;

/**
 * The faults that a stand-in injects. Immutable; a running stand-in gets a new instance to change
 * them.
 *
 * @param down whether every call fails
 * @param delayMillis delay before each call takes effect, in milliseconds
 * @param loseAnswerShare share of calls, from 0 to 1, whose answer is lost after the call took
 *     effect
 * @param reportLagMillis minimum age of the state in reports, in milliseconds
 */
public record Faults(boolean down, long delayMillis, double loseAnswerShare, long reportLagMillis) {

  /** No faults. */
  public static final Faults NONE = new Faults(false, 0, 0, 0);

  /** Returns a copy with the stand-in down or up. */
  public Faults withDown(boolean isDown) {
    return new Faults(isDown, delayMillis, loseAnswerShare, reportLagMillis);
  }

  /** Returns a copy with another delay. */
  public Faults withDelay(long millis) {
    return new Faults(down, millis, loseAnswerShare, reportLagMillis);
  }

  /** Returns a copy with another share of lost answers. */
  public Faults withLostAnswers(double share) {
    return new Faults(down, delayMillis, share, reportLagMillis);
  }

  /** Returns a copy with another report lag. */
  public Faults withReportLag(long millis) {
    return new Faults(down, delayMillis, loseAnswerShare, millis);
  }
}
