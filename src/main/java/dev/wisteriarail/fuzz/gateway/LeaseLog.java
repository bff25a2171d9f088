package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.id.LogPosition;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * The log of the lease on orders as a store keeps it: reads, and appends under a condition. A store
 * that comes back from an older copy loses the newest records and begins a new era.
 *
 * <p>Fuzzing and tests put their own losses and delays around it. Not thread-safe.
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
   * Begins a new era from a copy.
   *
   * @param newEra the era
   * @param copied what was written later is lost
   */
  public void restore(long newEra, Instant copied) {
    era = newEra;
    records.removeIf(each -> each.at().isAfter(copied));
  }

  /** Returns the store's era. */
  public long era() {
    return era;
  }

  /** Carries out a call at once. */
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
