package dev.wisteriarail.soak;

/** What a loopback proxy does with the bytes that pass it. */
public enum LinkState {
  /** Bytes pass at once. */
  OPEN,
  /** Bytes pass later. */
  DELAYED,
  /** Bytes to the server get lost; those to the caller pass. */
  CUT_TO_SERVER,
  /** Bytes to the caller get lost; those to the server pass. */
  CUT_TO_CALLER,
  /** No bytes pass and no connection is closed. */
  SILENT,
  /** Connections are reset, new ones too. */
  RESET
}
