package daemon

import "mimosafront/internal/policy"

// sourceFile names the policy file as the source of a policy.
const sourceFile = "file"

// loadPolicy reads the policy file, if the settings name one, and puts it in
// force. A faulty file changes nothing.
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

// Reload reads the policy file again. It logs why a file was rejected.
func (d *Daemon) Reload() {
	if err := d.loadPolicy(); err != nil {
		d.config.Logger.Error("policy rejected", "path", d.config.Settings.Node.PolicyFile, "error", err)
	}
}
