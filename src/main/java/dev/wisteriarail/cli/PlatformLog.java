package dev.wisteriarail.cli;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.logservice.HttpLogService;
import dev.wisteriarail.spi.LogService;
import java.net.URI;
import java.net.URISyntaxException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.eclipse.jetty.client.HttpClient;

/** Options for, and access to, the platform's log in subcommands. Stateless. */
final class PlatformLog {

  /** An action of a subcommand that needs the log. */
  @FunctionalInterface
  interface LogAction {

    /** Runs the action with a connected log. */
    ExitCode run(LogService log) throws WisteriarailException;
  }

  private PlatformLog() {}

  static void declareOptions(OptionParser parser) {
    parser.accepts("log", "base address of the platform's log").withRequiredArg();
    parser.accepts("cell", "cell whose snapshots to read").withRequiredArg().defaultsTo("main");
  }

  static CellId cell(OptionSet options) {
    return CellId.of((String) options.valueOf("cell"));
  }

  private static boolean isAddress(String text) {
    try {
      URI address = new URI(text);
      boolean isHttp = "http".equals(address.getScheme()) || "https".equals(address.getScheme());
      return isHttp && address.getHost() != null;
    } catch (URISyntaxException malformed) {
      return false;
    }
  }

  /** Runs an action with a client of the log given by {@code --log}, then stops the client. */
  static ExitCode withLog(OptionSet options, LogAction use) throws WisteriarailException {
    String address = String.valueOf(options.valueOf("log"));
    if (!isAddress(address)) {
      throw new SettingsException(
          ResultCode.USAGE, "--log", "is required, in the form http://127.0.0.1:9000");
    }
    HttpClient http = HttpClients.start();
    try {
      return use.run(HttpLogService.create(http, address));
    } finally {
      HttpClients.stop(http);
    }
  }
}
