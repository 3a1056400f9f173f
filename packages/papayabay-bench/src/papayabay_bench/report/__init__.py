"""Pictures and a page of what runs of scenarios found."""
