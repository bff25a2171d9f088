package dev.wisteriarail.answers;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.TomlDocument;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class PublisherTest {

  private static final CellId CELL = CellId.of("main");

  private final MemoryLog log = new MemoryLog();
  private int suffix;

  @Test
  void sectionsArePublishedInOrderInWhichEachIsValid() throws Exception {
    List<Section> sections = new ArrayList<>(List.of(customers(20), models("v1")));
    Collections.reverse(sections);
    List<PublishOutcome> outcomes = publisher().publish(sections, Revision.NONE);
    assertThat(outcomes)
        .containsExactly(
            new PublishOutcome.Published("customers", Revision.of(1)),
            new PublishOutcome.Published("models", Revision.of(2)))
        .inOrder();
  }

  @Test
  void unchangedSectionIsNotPublishedAgain() throws Exception {
    publisher().publish(List.of(customers(20)), Revision.NONE);
    assertThat(publisher().publish(List.of(customers(20)), Revision.of(1))).isEmpty();
    assertThat(log.appends()).isEqualTo(1);
  }

  @Test
  void operatorThatLookedAtOlderRevisionIsToldOfTheConflict() throws Exception {
    publisher().publish(List.of(customers(20)), Revision.NONE);
    List<PublishOutcome> second = publisher().publish(List.of(customers(30)), Revision.NONE);
    assertThat(((PublishOutcome.Refused) second.getFirst()).code())
        .isEqualTo(ResultCode.REVISION_CONFLICT);
    assertThat(log.appends()).isEqualTo(1);
  }

  @Test
  void ofTwoRacingOperatorsOneIsAcceptedAndOneToldOfTheConflict() throws Exception {
    Publisher first = publisher();
    Publisher second = publisher();
    List<PublishOutcome> won = first.publish(List.of(customers(20)), Revision.NONE);
    List<PublishOutcome> lost = second.publish(List.of(customers(30)), Revision.NONE);
    assertThat(won.getFirst()).isInstanceOf(PublishOutcome.Published.class);
    assertThat(((PublishOutcome.Refused) lost.getFirst()).code())
        .isEqualTo(ResultCode.REVISION_CONFLICT);
    assertThat(reader().configurationState().sections().get("customers")).isEqualTo(customers(20));
  }

  @Test
  void lostAnswerIsResolvedByReading() throws Exception {
    log.failNext(MemoryLog.Fault.ANSWER_LOST);
    List<PublishOutcome> outcomes = publisher().publish(List.of(customers(20)), Revision.NONE);
    assertThat(outcomes).containsExactly(new PublishOutcome.Published("customers", Revision.of(1)));
    assertThat(log.appends()).isEqualTo(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = MemoryLog.Fault.class,
      names = {"RECORD_LOST", "REFUSED"})
  void missingRecordIsSaidAndNeverSentTwice(MemoryLog.Fault fault) throws Exception {
    log.failNext(fault);
    Publisher publisher = publisher();
    PlatformException failure =
        assertThrows(
            PlatformException.class,
            () -> publisher.publish(List.of(customers(20)), Revision.NONE));
    assertThat(failure.code())
        .isEqualTo(
            fault == MemoryLog.Fault.REFUSED
                ? ResultCode.LOG_APPEND_FAILED
                : ResultCode.PUBLISH_UNKNOWN);
    assertThat(log.appends()).isEqualTo(1);
  }

  @Test
  void sectionThatBreaksAnotherIsRefusedByEveryReader() throws Exception {
    publisher().publish(List.of(customers(20), models("v1")), Revision.NONE);
    Section empty = section("customers", "");
    List<PublishOutcome> outcomes = publisher().publish(List.of(empty), Revision.of(2));
    assertThat(((PublishOutcome.Refused) outcomes.getFirst()).code())
        .isEqualTo(ResultCode.REFERENCE_UNKNOWN);
  }

  @Test
  void diffShowsWhatUnloadsAndWhoseLimitsChange() throws Exception {
    Configuration before =
        Configuration.merge(Revision.of(2), List.of(customers(20), models("v1")));
    Configuration after = Configuration.merge(Revision.of(2), List.of(customers(30), models("v2")));
    Reservation held =
        new Reservation(
            ReplicaId.of("m1.3.1"),
            ModelId.of("m1"),
            "v1",
            RunnerId.of("r1"),
            1L << 34,
            FencingNumber.of(3),
            false,
            false);
    List<String> lines = ConfigurationDiff.lines(before, after, List.of(held));
    assertThat(lines)
        .containsAtLeast(
            "~ customer c1: requestsPerSecond 20.0 -> 30.0",
            "    limits of customer c1 change for requests that arrive from then on",
            "~ model m1: version v1 -> v2",
            "    unloads replica m1.3.1 (v1, 16384 MiB on r1) once it is idle");
  }

  private Publisher publisher() throws PlatformException {
    return Publisher.create(log, reader(), "ann", "test", () -> "x" + suffix++);
  }

  private LogReader reader() throws PlatformException {
    LogReader reader = LogReader.create(log, CELL);
    reader.readToEnd();
    return reader;
  }

  private static Section customers(int rate) throws SettingsException {
    return section("customers", "[[customer]]\nid = \"c1\"\nrequests_per_second = " + rate + "\n");
  }

  private static Section models(String version) throws SettingsException {
    return section(
        "models",
        """
        [[model]]
        id = "m1"
        customer = "c1"
        version = "%s"
        memory_mib = 16384
        load_memory_ms = 100
        load_disk_ms = 200
        load_remote_ms = 400
        """
            .formatted(version));
  }

  private static Section section(String name, String toml) throws SettingsException {
    return SectionParser.parse(TomlDocument.parse(name + ".toml", toml), name);
  }
}
