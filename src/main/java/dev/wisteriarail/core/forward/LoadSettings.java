package dev.wisteriarail.core.forward;

/**
 * Settings of how requests are queued and distributed under load.
 *
 * @param urgentQueue whether requests of all services are queued fairly and by urgency, also at
 *     runners; otherwise the configuration decides ({@link UrgencyPolicy})
 */
public record LoadSettings(boolean urgentQueue) {

  /** The configuration decides. */
  public static final LoadSettings DEFAULT = new LoadSettings(false);
}
