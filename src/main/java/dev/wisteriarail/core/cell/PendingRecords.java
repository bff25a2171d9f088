package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The records that this node has appended and not yet read back, in the order of their appending.
 *
 * <p>A record stays pending until it is read back; while it is not known to stand in the log it is
 * appended again under the same identifier, so that readers see it once.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PendingRecords {

  private static final int UNANSWERED_RETRIES = 4;

  /** A pending record. Mutable. */
  private static final class Pending {
    private final RecordBody body;
    private Instant sentAt;
    private boolean answered;
    private boolean appended;
    private boolean possible;

    private Pending(RecordBody body, Instant sentAt) {
      this.body = body;
      this.sentAt = sentAt;
    }
  }

  private final NodeSettings settings;
  private final Map<RecordId, Pending> pending = new LinkedHashMap<>();
  private long sequence;

  private PendingRecords(NodeSettings settings) {
    this.settings = settings;
  }

  static PendingRecords create(NodeSettings settings) {
    return new PendingRecords(settings);
  }

  // Updates

  void append(RecordBody body, Step step) {
    sequence++;
    RecordId record = RecordId.of(settings.node() + "." + settings.incarnation() + ".r" + sequence);
    pending.put(record, new Pending(body, step.now()));
    step.emit(new Effect.Append(record, body));
  }

  void acceptReadBack(RecordId record) {
    pending.remove(record);
  }

  /**
   * Takes what is known of an append. A claim that failed is dropped, so that it can't surprise.
   */
  void acceptAnswer(RecordId record, AppendOutcome outcome) {
    Pending one = pending.get(record);
    if (one == null) {
      return;
    }
    one.answered = true;
    switch (outcome) {
      case AppendOutcome.Appended appended -> one.appended = true;
      case AppendOutcome.Unknown unknown -> one.possible = true;
      case AppendOutcome.NotAppended refused -> {
        if (one.body instanceof RecordBody.ClaimRecorded && !one.possible) {
          pending.remove(record);
        }
      }
    }
  }

  /** Appends again what is due. */
  void retry(Step step) {
    Duration interval = settings.timings().appendRetry();
    pending.forEach(
        (record, one) -> {
          Duration wait = one.answered ? interval : interval.multipliedBy(UNANSWERED_RETRIES);
          if (!one.appended && !step.now().isBefore(one.sentAt.plus(wait))) {
            one.possible |= !one.answered;
            one.answered = false;
            one.sentAt = step.now();
            step.emit(new Effect.Append(record, one.body));
          }
        });
  }

  /** Withdraws records that match and certainly do not stand in the log. */
  void withdraw(Predicate<RecordBody> unwanted) {
    pending
        .values()
        .removeIf(one -> one.answered && !one.appended && !one.possible && unwanted.test(one.body));
  }

  /** Forgets all records; a newer claim made them void. */
  void clear() {
    pending.clear();
  }

  /** Forgets claims; another one won. */
  void clearClaims() {
    pending.values().removeIf(one -> one.body instanceof RecordBody.ClaimRecorded);
  }

  // Accessors

  /** Returns the pending records in order. */
  List<RecordBody> bodies() {
    return pending.values().stream().map(one -> one.body).toList();
  }

  boolean any(Predicate<RecordBody> wanted) {
    return pending.values().stream().anyMatch(one -> wanted.test(one.body));
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }
}
