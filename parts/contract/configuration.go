package contract

// ConfigurationRequest asks a peer for the configuration after the version Since.
type ConfigurationRequest struct {
	Since int64 `json:"since"`
}
