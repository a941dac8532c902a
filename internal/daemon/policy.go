package daemon

import "mimosafront/internal/policy"

// sourceFile is the source name of policies read from the policy file.
const sourceFile = "file"

// loadPolicy puts the configured policy into force, or else the policy file that the
// settings name. An invalid file leaves the current policy in force.
func (d *Daemon) loadPolicy() error {
	if d.config.Policy != nil {
		return d.policies.Offer(d.config.Policy, sourceFile)
	}
	path := d.config.Settings.Node.PolicyFile
	if path == "" {
		return nil
	}
	p, err := policy.Load(path)
	if err != nil {
		return err
	}
	if err := d.policies.Offer(p, sourceFile); err != nil {
		return err
	}
	d.config.Logger.Info("policy in force", "generation", p.Generation, "digest", p.Digest, "source", path)
	return nil
}

// Reload reads the policy file again. If the file is rejected, the reason is logged
// and the current policy stays in force.
func (d *Daemon) Reload() {
	if err := d.loadPolicy(); err != nil {
		d.config.Logger.Error("policy rejected", "path", d.config.Settings.Node.PolicyFile, "error", err)
	}
}
