package dev.wisteriarail.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.TenantFault;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Decodes the outcomes of calls to the store into the core's answers. Stateless. */
final class StoreAnswers {

  private static final Logger LOGGER = LogManager.getLogger(StoreAnswers.class);

  private StoreAnswers() {}

  // Reads

  static StoreAnswer configuration(StoreClient.Outcome outcome, LogPosition from) {
    List<WireRecords.KeyedRecord> records = new ArrayList<>();
    LogPosition next;
    switch (outcome) {
      case StoreClient.Outcome.Newest newest -> {
        records.addAll(newest.records());
        next = newest.end();
      }
      case StoreClient.Outcome.Read read -> {
        read.batch().records().forEach(content -> decodeInto(content, records));
        next = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
      }
      default -> {
        return failure(outcome);
      }
    }
    Optional<GatewayConfiguration> newest = Optional.empty();
    List<TenantFault> faults = new ArrayList<>();
    for (WireRecords.KeyedRecord each : records) {
      if (each.key().equals(WireNames.CONFIGURATION_KEY) && !each.value().isEmpty()) {
        try {
          newest = Optional.of(WireDocuments.configuration(each.value()));
        } catch (InvalidTenantException invalid) {
          faults.add(invalid.fault());
        } catch (IOException malformed) {
          faults.add(new TenantFault("", describe(malformed)));
        }
      }
    }
    return new StoreAnswer.ConfigurationRead(newest, next, faults);
  }

  /**
   * Decodes the result of a read of the directory.
   *
   * @param from position from which it was read; ignored for the newest records of all keys
   */
  static StoreAnswer directory(StoreClient.Outcome outcome, LogPosition from) {
    return switch (outcome) {
      case StoreClient.Outcome.Newest newest ->
          directory(true, LogPosition.of(newest.end().era(), 0), newest.end(), newest.records());
      case StoreClient.Outcome.Read read -> {
        List<WireRecords.KeyedRecord> records = new ArrayList<>();
        read.batch().records().forEach(content -> decodeInto(content, records));
        LogPosition to = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
        yield directory(false, from, to, records);
      }
      default -> failure(outcome);
    };
  }

  /** Builds a directory change in which the last usable record of a runner wins. */
  private static StoreAnswer directory(
      boolean whole, LogPosition from, LogPosition to, List<WireRecords.KeyedRecord> records) {
    Map<String, RunnerEntry> entries = new LinkedHashMap<>();
    Set<String> removed = new LinkedHashSet<>();
    Map<String, String> unreadable = new LinkedHashMap<>();
    for (WireRecords.KeyedRecord each : records) {
      unreadable.remove(each.key());
      if (each.value().isEmpty()) {
        entries.remove(each.key());
        removed.add(each.key());
        continue;
      }
      try {
        entries.put(each.key(), WireDocuments.runner(each.key(), each.value()));
        removed.remove(each.key());
      } catch (IOException malformed) {
        unreadable.put(each.key(), describe(malformed));
      }
    }
    DirectoryChange change =
        new DirectoryChange(whole, from, to, List.copyOf(entries.values()), List.copyOf(removed));
    return new StoreAnswer.DirectoryRead(change, unreadable);
  }

  /** Returns why a document is malformed, without the part of it that a parser quotes. */
  private static String describe(IOException malformed) {
    return malformed instanceof JsonProcessingException ? "not valid JSON" : malformed.getMessage();
  }

  private static void decodeInto(byte[] content, List<WireRecords.KeyedRecord> records) {
    try {
      records.add(WireRecords.decodeKeyed(content));
    } catch (IOException malformed) {
      LOGGER.warn("ignoring a record whose key cannot be decoded", malformed);
    }
  }

  static StoreAnswer nodes(StoreClient.Outcome outcome) {
    if (!(outcome instanceof StoreClient.Outcome.Newest newest)) {
      return failure(outcome);
    }
    List<NodeAddress> nodes = new ArrayList<>();
    for (WireRecords.KeyedRecord each : newest.records()) {
      try {
        nodes.add(StoredRecords.checked(Codecs.json().readValue(each.value(), NodeAddress.class)));
      } catch (IOException malformed) {
        LOGGER.warn(
            "ignoring the address of node {}, which cannot be decoded", each.key(), malformed);
      }
    }
    return new StoreAnswer.NodesRead(nodes, newest.end().era());
  }

  static StoreAnswer refusals(StoreClient.Outcome outcome, Instant now) {
    if (!(outcome instanceof StoreClient.Outcome.Newest newest)) {
      return failure(outcome);
    }
    List<CrashRefusal> refusals = new ArrayList<>();
    for (WireRecords.KeyedRecord each : newest.records()) {
      try {
        CrashRefusal refusal =
            StoredRecords.checked(Codecs.json().readValue(each.value(), StoredRefusal.class))
                .toRefusal(now);
        if (refusal.remainingMillis() > 0) {
          refusals.add(refusal);
        }
      } catch (IOException malformed) {
        LOGGER.warn("ignoring the refusal {}, which cannot be decoded", each.key(), malformed);
      }
    }
    return new StoreAnswer.CrashRefusalsRead(refusals, newest.end().era());
  }

  private static StoreAnswer failure(StoreClient.Outcome outcome) {
    return switch (outcome) {
      case StoreClient.Outcome.Dropped dropped ->
          new StoreAnswer.RecordsDropped(dropped.first().era());
      case StoreClient.Outcome.Failed failed -> new StoreAnswer.Failed(failed.reason());
      default -> new StoreAnswer.Failed("unexpected response");
    };
  }

  static LeaseAnswer leaseRecords(StoreClient.Outcome outcome, long from) {
    return switch (outcome) {
      case StoreClient.Outcome.Read read -> {
        List<LeaseRecord> records = new ArrayList<>();
        for (byte[] content : read.batch().records()) {
          try {
            records.add(StoredRecords.checked(Codecs.json().readValue(content, LeaseRecord.class)));
          } catch (IOException malformed) {
            LOGGER.warn("a lease record cannot be decoded", malformed);
            records.add(LeaseRecord.UNREADABLE);
          }
        }
        yield new LeaseAnswer.Records(
            LogPosition.of(read.era(), read.batch().endOffset()),
            read.batch().firstOffset(),
            from,
            records);
      }
      case StoreClient.Outcome.Dropped dropped ->
          new LeaseAnswer.Records(
              LogPosition.of(
                  dropped.first().era(), Math.max(from + 1, dropped.first().offset() + 1)),
              dropped.first().offset(),
              from,
              List.of());
      case StoreClient.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected response");
    };
  }

  static LeaseAnswer leaseAppended(StoreClient.Outcome outcome) {
    return switch (outcome) {
      case StoreClient.Outcome.Appended appended -> new LeaseAnswer.Appended(appended.position());
      case StoreClient.Outcome.Conflict conflict -> new LeaseAnswer.Conflict(conflict.end());
      case StoreClient.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected response");
    };
  }
}
