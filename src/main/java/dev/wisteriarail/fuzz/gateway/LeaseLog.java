package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.id.LogPosition;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * An in-memory log of the coordinator's lease, with reads and conditional appends. A restore from
 * an older copy loses the newest records and starts a new era.
 *
 * <p>Losses and delays are simulated by the fuzz runs and tests that use it. Not thread-safe.
 */
public final class LeaseLog {

  private final List<FakeMetadataStore.Timed<LeaseRecord>> records = new ArrayList<>();
  private long era;

  private LeaseLog() {}

  /** Returns an empty log. */
  public static LeaseLog create() {
    return new LeaseLog();
  }

  /**
   * Starts a new era from a copy.
   *
   * @param newEra number of the new era
   * @param copiedAt time of the copy; records written later are lost
   */
  public void restore(long newEra, Instant copiedAt) {
    era = newEra;
    records.removeIf(each -> each.at().isAfter(copiedAt));
  }

  /** Returns the store's era. */
  public long era() {
    return era;
  }

  /** Executes a call immediately. */
  public LeaseAnswer call(LeaseCall call, Instant now) {
    LogPosition end = LogPosition.of(era, records.size());
    return switch (call) {
      case LeaseCall.Read read -> {
        int from = (int) Math.min(read.from(), records.size());
        List<LeaseRecord> found =
            records.subList(from, records.size()).stream()
                .map(FakeMetadataStore.Timed::value)
                .toList();
        yield new LeaseAnswer.Records(end, 0, read.from(), found);
      }
      case LeaseCall.Append append -> {
        if (append.at() != end.offset()) {
          yield new LeaseAnswer.Conflict(end);
        }
        records.add(new FakeMetadataStore.Timed<>(now, append.record()));
        yield new LeaseAnswer.Appended(end);
      }
    };
  }
}
