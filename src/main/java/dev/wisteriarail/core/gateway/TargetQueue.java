package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.SlotForecast;
import java.time.Instant;
import java.util.Optional;

/**
 * The waiting requests of one node that need the same service, model and adapter, during one pass
 * over all waiting requests, and how fast they got slots in earlier passes.
 *
 * <p>Load: small requests fill the memory of the runners, so that a large one never finds room; or
 * a large one at the head of the queue holds back all small ones. Small requests may pass a large
 * one until they have taken as many tokens as it needs.
 *
 * <p>Not thread-safe.
 */
final class TargetQueue {

  private final SlotForecast forecast = SlotForecast.create();
  private Instant lastUsedAt = Instant.MIN;
  private long pass = -1;
  private long lastWaitingPass = -1;
  private Optional<PendingForward> blocker = Optional.empty();
  private long room;
  private int ahead;

  private TargetQueue() {}

  static TargetQueue create() {
    return new TargetQueue();
  }

  /** Begins a pass unless it has begun already. */
  void begin(long newPass, Instant now) {
    lastUsedAt = now;
    if (pass == newPass) {
      return;
    }
    if (lastWaitingPass < newPass - 1) {
      forecast.recordWaiting(false, now);
    }
    pass = newPass;
    blocker = Optional.empty();
    room = 0;
    ahead = 0;
  }

  /** Returns whether a request in this pass found no runner. */
  boolean isBlocked() {
    return blocker.isPresent();
  }

  /**
   * Records that a request found no runner.
   *
   * @param newRoom tokens for which a runner with a free slot has room; 0 if no slot is free
   */
  void block(PendingForward forward, long newRoom) {
    if (blocker.isEmpty()) {
      blocker = Optional.of(forward);
    }
    room = newRoom;
  }

  /** Returns whether a request may pass the larger one for which no runner has room. */
  boolean mayPass(PendingForward forward) {
    return blocker.isPresent()
        && blocker.get().rank() == forward.rank()
        && forward.tokens() <= room
        && blocker.get().mayBePassedBy(forward);
  }

  /** Records that a request got a slot. */
  void recordSlot(PendingForward forward, Instant now) {
    forecast.recordSlot(now);
    blocker.ifPresent(each -> each.recordPassed(forward));
    room = 0;
  }

  /** Records that a request goes on waiting. */
  void recordWaiting(Instant now) {
    ahead++;
    lastWaitingPass = pass;
    forecast.recordWaiting(true, now);
  }

  /** Returns the expected wait for a slot of the next request in the order. */
  Optional<SlotForecast.Wait> slotWait(Instant now) {
    return forecast.estimate(ahead, now);
  }

  boolean isUnusedSince(Instant time) {
    return lastUsedAt.isBefore(time);
  }
}
