package dev.wisteriarail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.load.CallerResult;
import dev.wisteriarail.load.LoadPlanner;
import dev.wisteriarail.load.LoadRunner;
import dev.wisteriarail.load.LoadScenario;
import dev.wisteriarail.load.LoadSetup;
import dev.wisteriarail.load.OverheadExperiment;
import dev.wisteriarail.load.PlannedCall;
import dev.wisteriarail.logservice.HttpClients;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.eclipse.jetty.client.HttpClient;

/** Sends load to running nodes, or measures the overhead of a node within one process. */
final class LoadCommand implements Command {

  private static final String OVERHEAD = "overhead";

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String summary() {
    return "sends load to nodes (steady, burst, flood, duplicate) or measures a node's overhead";
  }

  @Override
  public String example() {
    return "wisteriarail load --target http://127.0.0.1:8080 --token demo-token --model m001"
        + " --scenario steady --rate 50 --seconds 20 --json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("target", "base address of a node; repeatable").withRequiredArg();
    parser
        .accepts("token", "bearer token of a caller; repeatable, flood needs two")
        .withRequiredArg();
    parser.accepts("model", "model or service to call; repeatable").withRequiredArg();
    parser.accepts("kind", "request kind").withRequiredArg();
    parser.accepts("services", "call plain services instead of models");
    parser
        .accepts("scenario", "steady, burst, flood, duplicate or overhead")
        .withRequiredArg()
        .defaultsTo("steady");
    parser
        .accepts("rate", "requests per second")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(10.0);
    parser.accepts("seconds", "length").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    parser
        .accepts("size", "requests per burst")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(50);
    parser
        .accepts("factor", "in a flood, ratio of the second caller's rate to the first caller's")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(20);
    parser
        .accepts("max-tokens", "maximum number of tokens per answer")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(16);
    parser
        .accepts("seed", "seed of the load plan")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(1L);
    parser.accepts("json", "print one JSON object");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    String scenario = (String) options.valueOf("scenario");
    JsonNode result = scenario.equals(OVERHEAD) ? OverheadExperiment.run() : sendLoad(options);
    out.println(options.has("json") ? result.toString() : result.toPrettyString());
    return ExitCode.SUCCESS;
  }

  private static JsonNode sendLoad(OptionSet options)
      throws SettingsException, InterruptedException {
    List<String> targets = requiredValues(options, "target");
    List<String> tokens = requiredValues(options, "token");
    LoadScenario scenario = scenario(options);
    if (scenario instanceof LoadScenario.Flood && tokens.size() < 2) {
      throw new SettingsException(
          ResultCode.USAGE, "--token", "the flood scenario needs two tokens");
    }
    LoadSetup setup =
        new LoadSetup(
            targets,
            tokens,
            Optional.ofNullable((String) options.valueOf("kind")),
            options.has("services"),
            (Integer) options.valueOf("max-tokens"),
            Duration.ofMinutes(5));
    List<PlannedCall> calls =
        LoadPlanner.plan(
            scenario,
            requiredValues(options, "model"),
            targets.size(),
            (Long) options.valueOf("seed"));
    HttpClient http = HttpClients.startForCallers();
    try {
      ArrayNode callers = JsonNodeFactory.instance.arrayNode();
      for (CallerResult result : LoadRunner.create(http, setup).run(calls)) {
        callers.add(result.toJson());
      }
      return JsonNodeFactory.instance
          .objectNode()
          .put("calls", calls.size())
          .set("callers", callers);
    } finally {
      HttpClients.stop(http);
    }
  }

  private static LoadScenario scenario(OptionSet options) throws SettingsException {
    double rate = (Double) options.valueOf("rate");
    Duration duration = Duration.ofSeconds((Integer) options.valueOf("seconds"));
    String name = (String) options.valueOf("scenario");
    if (rate <= 0 || duration.isNegative() || duration.isZero()) {
      throw new SettingsException(ResultCode.USAGE, "--rate, --seconds", "must be positive");
    }
    return switch (name) {
      case "steady" -> new LoadScenario.Steady(rate, duration);
      case "burst" ->
          new LoadScenario.Burst(
              (Integer) options.valueOf("size"), Duration.ofSeconds(5), duration);
      case "flood" -> new LoadScenario.Flood(rate, (Integer) options.valueOf("factor"), duration);
      case "duplicate" -> new LoadScenario.Duplicate(rate, duration);
      default ->
          throw new SettingsException(
              ResultCode.USAGE,
              "--scenario",
              "no scenario " + name + "; choose steady, burst, flood, duplicate or overhead");
    };
  }

  private static List<String> requiredValues(OptionSet options, String name)
      throws SettingsException {
    List<String> values = options.valuesOf(name).stream().map(String::valueOf).toList();
    if (values.isEmpty()) {
      throw new SettingsException(ResultCode.USAGE, "--" + name, "is required");
    }
    return values;
  }
}
