package dev.wisteriarail.standin;

/**
 * The faults that a stand-in shows; replaced as a whole while it runs.
 *
 * @param down whether every call is refused
 * @param delayMillis time added before each call takes effect, in milliseconds
 * @param loseAnswerShare share of calls, from 0 to 1, whose answer is lost after the effect
 * @param reportLagMillis age of the state that reports show, in milliseconds
 */
public record Faults(boolean down, long delayMillis, double loseAnswerShare, long reportLagMillis) {

  /** No faults. */
  public static final Faults NONE = new Faults(false, 0, 0, 0);

  /** Returns the same faults with the stand-in down or up. */
  public Faults withDown(boolean isDown) {
    return new Faults(isDown, delayMillis, loseAnswerShare, reportLagMillis);
  }

  /** Returns the same faults with another delay. */
  public Faults withDelay(long millis) {
    return new Faults(down, millis, loseAnswerShare, reportLagMillis);
  }

  /** Returns the same faults with another share of lost answers. */
  public Faults withLostAnswers(double share) {
    return new Faults(down, delayMillis, share, reportLagMillis);
  }

  /** Returns the same faults with another age of reports. */
  public Faults withReportLag(long millis) {
    return new Faults(down, delayMillis, loseAnswerShare, millis);
  }
}
