package contract

// ConfigurationRequest asks a peer for what follows a version.
type ConfigurationRequest struct {
	Since int64 `json:"since"`
}
