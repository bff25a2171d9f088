package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_16;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.gateway.PlatformClient;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.Charset;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that directory entries of other writers neither delay requests nor stop the directory. */
class OddEntryTest {

  private static final String DIRECTORY = "keyed.servers";

  /** How long a caller may wait for an answer; far below the requests' time limit of 5 s. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(3);

  private static final int REQUESTS = 12;

  /** Enough for each of three runners, and fewer than two of them serve at a time. */
  private static final int CONCURRENT_ORDERS = 4;

  private final AtomicLong directoryRead = new AtomicLong();
  private final AtomicInteger requests = new AtomicInteger();

  // One entry

  static Stream<String> names() {
    return Stream.of(
        "port 0",
        "port -1",
        "port 65536",
        "port 99999",
        "port abc",
        "host no-such-host.invalid",
        "host localhost",
        "host ::1",
        "born far ahead",
        "slots -1",
        "deep list",
        "wide service",
        "cut",
        "not text");
  }

  @ParameterizedTest
  @MethodSource("names")
  void entryUnderNewIdIsNotUsed(String name) throws Exception {
    try (GatewayFleet fleet = start(1, 2)) {
      putAndAwaitRead(fleet, "odd", OddEntries.all().get(name).getBytes(UTF_8));
      checkServed(fleet);
      checkDirectoryIsFollowed(fleet);
    }
  }

  @ParameterizedTest
  @MethodSource("names")
  void entryUnderIdOfRunnerHarmsNothing(String name) throws Exception {
    try (GatewayFleet fleet = start(1, 2)) {
      putAndAwaitRead(fleet, "plain-0", OddEntries.all().get(name).getBytes(UTF_8));
      checkServed(fleet);
      checkDirectoryIsFollowed(fleet);
    }
  }

  static Stream<Arguments> bytes() {
    return Stream.of("odd", "plain-0")
        .flatMap(
            id ->
                Stream.of(
                    Arguments.of(id, "", ISO_8859_1),
                    Arguments.of(id, "ÿþé", ISO_8859_1),
                    Arguments.of(id, OddEntries.all().get("host é"), ISO_8859_1),
                    Arguments.of(id, OddEntries.all().get("port 65536"), UTF_16)));
  }

  /** An empty value removes an entry; other bytes that are not UTF-8 are ignored. */
  @ParameterizedTest
  @MethodSource("bytes")
  void valueThatIsNoTextHarmsNothing(String id, String value, Charset charset) throws Exception {
    try (GatewayFleet fleet = start(1, 2)) {
      putAndAwaitRead(fleet, id, value.getBytes(charset));
      checkServed(fleet);
      checkDirectoryIsFollowed(fleet);
    }
  }

  private GatewayFleet start(int engines, int plain) throws Exception {
    return GatewayFleet.start(1, engines, plain, this::observed);
  }

  /** Returns a client that records up to where the node has read the directory. */
  private PlatformClient observed(PlatformClient client) {
    return (PlatformClient)
        Proxy.newProxyInstance(
            PlatformClient.class.getClassLoader(),
            new Class<?>[] {PlatformClient.class},
            (proxy, called, arguments) -> {
              if (called.getName().equals("readStore")) {
                client.readStore((StoreRead) arguments[0], recording((Consumer<?>) arguments[1]));
                return null;
              }
              return called.invoke(client, arguments);
            });
  }

  private Consumer<StoreAnswer> recording(Consumer<?> callback) {
    @SuppressWarnings("unchecked")
    Consumer<StoreAnswer> answers = (Consumer<StoreAnswer>) callback;
    return answer -> {
      answers.accept(answer);
      if (answer instanceof StoreAnswer.DirectoryRead read) {
        directoryRead.accumulateAndGet(read.change().to().offset(), Math::max);
      }
    };
  }

  private void putAndAwaitRead(GatewayFleet fleet, String id, byte[] value) throws Exception {
    fleet.platform().store().put(DIRECTORY, id, value);
    awaitRead(fleet);
  }

  /** Waits until the node has read the directory up to its present end. */
  private void awaitRead(GatewayFleet fleet) throws Exception {
    long end = fleet.platform().store().endOffset(DIRECTORY);
    fleet.await(() -> directoryRead.get() >= end);
  }

  private void checkServed(GatewayFleet fleet) throws Exception {
    checkConcurrentOrders(fleet);
    for (int i = 0; i < REQUESTS; i++) {
      check(fleet, "POST", "/order/1", "");
      check(fleet, "GET", "/lookup/1", "");
    }
    check(fleet, "POST", "/chat/1", "m0");
  }

  /** Orders may run once, so one that is sent to an odd entry is not sent to another runner. */
  private void checkConcurrentOrders(GatewayFleet fleet) throws Exception {
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<Void>> orders = new ArrayList<>();
      for (int i = 0; i < CONCURRENT_ORDERS; i++) {
        orders.add(
            callers.submit(
                () -> {
                  check(fleet, "POST", "/order/1", "");
                  return null;
                }));
      }
      for (Future<Void> order : orders) {
        order.get();
      }
    }
  }

  private void check(GatewayFleet fleet, String method, String path, String model)
      throws Exception {
    long start = System.nanoTime();
    int status =
        fleet.send(0, method, path, model, "odd-" + requests.incrementAndGet(), "b").statusCode();
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
    try (GatewayFleet engines = start(2, 0)) {
      int count = 0;
      for (Map.Entry<String, String> odd : OddEntries.ofService("engines").entrySet()) {
        engines.platform().store().put(DIRECTORY, "odd-" + count++, odd.getValue());
      }
      awaitRead(engines);
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
    try (GatewayFleet gap = start(0, 1)) {
      int count = 0;
      for (String odd : OddEntries.all().values()) {
        gap.platform().store().put(DIRECTORY, "odd-" + count++, odd);
      }
      gap.platform().compactTopics();
      gap.platform().crash("plain-0");
      gap.platform().restart("plain-0");
      gap.platform().writeEntries();
      awaitRead(gap);
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
