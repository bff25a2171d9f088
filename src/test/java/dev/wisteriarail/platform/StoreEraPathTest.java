package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.gateway.GatewayHttp;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.standin.MetadataStoreStandin;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests log positions before and after the store is restored from an older backup, over HTTP. */
class StoreEraPathTest {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration AGE_BEFORE_ALL_RECORDS = Duration.ofHours(1);

  private MetadataStoreStandin store;
  private final QueuedThreadPool threads = new QueuedThreadPool();
  private final Scheduler scheduler = new ScheduledExecutorScheduler();
  private HttpClient http;
  private HttpPlatformClient calls;

  @BeforeEach
  void start() throws Exception {
    store = MetadataStoreStandin.start(new Endpoint("127.0.0.1", 0));
    threads.start();
    scheduler.start();
    http = GatewayHttp.start(threads, scheduler, CALL_TIMEOUT.toMillis(), true);
    calls = HttpPlatformClient.create(http, store.address());
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    scheduler.stop();
    threads.stop();
    store.close();
  }

  private static <T> T answer(Consumer<Consumer<T>> call) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    call.accept(result::complete);
    return result.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private LeaseAnswer claim(long at) throws Exception {
    LeaseRecord record = LeaseRecord.claim("n1", 1, 0);
    return answer(callback -> calls.callLease(new LeaseCall.Append(at, record), callback));
  }

  @Test
  void placesCarryTheErasOfTheirAnswers() throws Exception {
    assertThat(claim(0)).isEqualTo(new LeaseAnswer.Appended(LogPosition.of(0, 0)));
    store.restore(AGE_BEFORE_ALL_RECORDS);
    assertThat(claim(1)).isEqualTo(new LeaseAnswer.Conflict(LogPosition.of(1, 0)));
    assertThat(claim(0)).isEqualTo(new LeaseAnswer.Appended(LogPosition.of(1, 0)));
  }

  @Test
  void readFromPlaceThatIsNoMoreTellsTheEra() throws Exception {
    store.put("keyed.servers", "r1", "{}");
    store.put("keyed.servers", "r2", "{}");
    store.restore(AGE_BEFORE_ALL_RECORDS);
    StoreRead read = new StoreRead.DirectoryChanges(LogPosition.of(0, 2));
    StoreAnswer answer = answer(callback -> calls.readStore(read, callback));
    assertThat(answer).isEqualTo(new StoreAnswer.RecordsDropped(1));
  }

  @Test
  void readThatWaitedAcrossTheChangeTellsTheEra() throws Exception {
    StoreRead read = new StoreRead.NextConfiguration(LogPosition.of(0, 0), Duration.ofSeconds(8));
    CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
    calls.readStore(read, answer::complete);
    while (store.callCount() == 0) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    store.restore(AGE_BEFORE_ALL_RECORDS);
    assertThat(answer.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS).era()).isEqualTo(1);
  }
}
