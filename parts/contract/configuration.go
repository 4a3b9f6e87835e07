package contract

// ConfigurationRequest asks a peer for the configuration after the version Since,
// which is an offset in the log's configuration stream.
type ConfigurationRequest struct {
	Since int64 `json:"since"`
}
