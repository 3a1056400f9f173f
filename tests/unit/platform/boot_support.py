"""A settings file of the platform for tests."""

BOOT = """
[self]
nodeId = "vm-a-1"
machineClass = "sidecar"
ip = "10.1.0.8"
zone = "hall-a"
region = "riga"
appAddr = "10.1.0.8:8301"
service = "svc-a"
[self.limits]
memoryMb = 300
[network]
internalPorts = [7620,7635]
seeds = []
[network.listenAddrs]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
heartbeat = "1500ms"
[platform.platform]
address = "10.200.1.7:8309"
writesPerS = 400
[terms]
contracts = ["base"]
[terms.bounds]
grace = "6s"
retryBudgetRatio = 0.2
retryWindow = "10s"
retryBudgetMin = 47
"""
