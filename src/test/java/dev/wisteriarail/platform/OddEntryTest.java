package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that directory entries of other writers neither delay requests nor stop the directory. */
class OddEntryTest {

  private static final String DIRECTORY = "keyed.servers";

  /** How long a caller may wait for an answer; far below the requests' time limit of 5 s. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(3);

  private static final int REQUESTS = 6;

  private int requests;

  // One entry

  @ParameterizedTest
  @ValueSource(
      strings = {
        "port 0",
        "port -1",
        "port 99999",
        "port abc",
        "host no-such-host.invalid",
        "host ::1",
        "born far ahead",
        "slots -1",
        "deep list",
        "wide service",
        "cut",
        "not text"
      })
  void entryUnderNewIdIsNotUsed(String name) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 1, 2)) {
      fleet.platform().store().put(DIRECTORY, "odd", OddEntries.all().get(name));
      checkServed(fleet);
      checkDirectoryIsFollowed(fleet);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "port 0",
        "port -1",
        "port 99999",
        "port abc",
        "host no-such-host.invalid",
        "host ::1",
        "born far ahead",
        "slots -1",
        "deep list",
        "wide service",
        "cut",
        "not text"
      })
  void entryUnderIdOfRunnerHarmsNothing(String name) throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 1, 2)) {
      fleet.platform().store().put(DIRECTORY, "plain-0", OddEntries.all().get(name));
      checkServed(fleet);
      checkDirectoryIsFollowed(fleet);
    }
  }

  private void checkServed(GatewayFleet fleet) throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      check(fleet, "POST", "/order/1", "");
      check(fleet, "GET", "/lookup/1", "");
    }
    check(fleet, "POST", "/chat/1", "m0");
  }

  private void check(GatewayFleet fleet, String method, String path, String model)
      throws Exception {
    long start = System.nanoTime();
    int status = fleet.send(0, method, path, model, "odd-" + requests++, "b").statusCode();
    assertWithMessage("status of %s", path).that(status).isEqualTo(200);
    assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(ANSWER_LIMIT);
  }

  /** Checks that runners that start now get requests: those before them are gone. */
  private static void checkDirectoryIsFollowed(GatewayFleet fleet) throws Exception {
    fleet.platform().crash("plain-0");
    fleet.platform().crash("plain-1");
    fleet.platform().restart("plain-0");
    fleet.platform().restart("plain-1");
    fleet.await(() -> isLookupServed(fleet));
  }

  // Engines

  /** An engine whose address is no address gets no orders, and the others are planned for. */
  @Test
  void ordersGoOnBesideOddEngines() throws Exception {
    try (GatewayFleet engines = GatewayFleet.start(1, 2, 0)) {
      int count = 0;
      for (Map.Entry<String, String> odd : OddEntries.ofService("engines").entrySet()) {
        engines.platform().store().put(DIRECTORY, "odd-" + count++, odd.getValue());
      }
      engines.await(() -> isServed(engines, "m1"));
      engines.await(() -> isServed(engines, "m2"));
    }
  }

  private static boolean isServed(GatewayFleet engines, String model) {
    try {
      return engines.send(0, "POST", "/chat/1", model).statusCode() == 200;
    } catch (IOException cut) {
      return false;
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  /** The complete directory, which is read after a gap, may contain odd entries, too. */
  @Test
  void completeDirectoryWithOddEntriesIsRead() throws Exception {
    try (GatewayFleet gap = GatewayFleet.start(1, 0, 1)) {
      int count = 0;
      for (String odd : OddEntries.all().values()) {
        gap.platform().store().put(DIRECTORY, "odd-" + count++, odd);
      }
      gap.platform().compactTopics();
      gap.platform().crash("plain-0");
      gap.platform().restart("plain-0");
      gap.platform().writeEntries();
      gap.await(() -> isLookupServed(gap));
    }
  }

  private static boolean isLookupServed(GatewayFleet gap) {
    try {
      return gap.send(0, "GET", "/lookup/1", "").statusCode() == 200;
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }
}
